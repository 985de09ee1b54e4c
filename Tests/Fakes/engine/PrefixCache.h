#pragma once

#include <LibEndpoint/EndpointMessages.h>
#include <Tests/Fakes/engine/EngineSettings.h>

#include <deque>
#include <list>
#include <string>
#include <unordered_map>

namespace Chicorydock {

/// A prefix cache of limited size that evicts the least recently used prefix. Its events are published with a delay,
/// and some are lost.
class PrefixCache {
public:
    explicit PrefixCache(const EngineSettings&);

    /// Stores the prefixes of a prompt. Returns how many of its tokens were cached already.
    uint32_t use(const std::string& model, const std::string& prompt, MonotonicTime now);

    /// Returns the published events with a higher sequence number, oldest first.
    CacheEvents eventsAfter(uint64_t sequence, MonotonicTime now) const;

    /// Returns the share of the cache in use, in [0, 1].
    double usedShare() const { return static_cast<double>(m_usedTokens) / m_settings.cacheTokens; }

private:
    struct Entry {
        uint64_t prefix { 0 };
        uint32_t tokens { 0 };
    };
    struct LoggedEvent {
        CacheEvent event;
        MonotonicTime publishedAt;
    };

    void store(Entry, MonotonicTime now);
    void evict(MonotonicTime now);
    void logEvent(bool stored, uint64_t prefix, MonotonicTime now);

    EngineSettings m_settings;
    /// Most recently used first.
    std::list<Entry> m_entries;
    std::unordered_map<uint64_t, std::list<Entry>::iterator> m_index;
    std::deque<LoggedEvent> m_events;
    uint64_t m_sequence { 0 };
    uint64_t m_usedTokens { 0 };
};

}
