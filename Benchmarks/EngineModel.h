#pragma once

#include "EventQueue.h"

#include <LibRouting/Work.h>

#include <deque>
#include <list>
#include <string>
#include <unordered_map>

namespace Chicorydock {

/// Speed of a model engine at nominal hardware.
struct EngineSpeed {
    double gapBaseSeconds { 0.010 };
    double gapSlopeSeconds { 0.0004 };
    double prefillBaseSeconds { 0.020 };
    double prefillSecondsPerToken { 0.0001 };
};

/// A model engine with continuous batching: in every step each decoding stream gets one token, and a step takes
/// `factor * (base + slope * streams)`. It admits every request on arrival and has no priorities.
class EngineModel {
public:
    /// Identifies an attempt by its node and work.
    using Key = std::pair<uint32_t, WorkId>;

    struct Observer {
        std::function<void(const Key&, uint32_t endpoint)> onToken;
        std::function<void(const Key&, uint32_t endpoint, AttemptOutcome)> onAttemptEnded;
        /// Called once per node after all tokens of a step have been reported.
        std::function<void(uint32_t node)> onStepFinished;
    };

    EngineModel(EventQueue&, uint32_t index, double factor, const EngineSpeed&, const Observer&);

    void start(const Key&, const Work&, uint32_t length);
    /// Returns whether the attempt was running.
    bool cancel(const Key&);

    void setSlowdown(double slowdown) { m_slowdown = slowdown; }
    void setFailing(bool isFailing) { m_isFailing = isFailing; }
    void setCacheCapacity(size_t keys) { m_cacheCapacity = keys; }

    uint32_t running() const { return static_cast<uint32_t>(m_streams.size()); }
    uint64_t tokens() const { return m_tokens; }
    /// Returns the number of generated tokens of one class.
    uint64_t tokens(WorkClass workClass) const { return m_tokensByClass[static_cast<size_t>(workClass)]; }
    uint32_t running(WorkClass) const;
    double gapSeconds(double streams) const;
    /// Returns the largest number of streams, up to `maxStreams`, at which the token gap stays within the target.
    double concurrencyWithin(double targetGapSeconds, double maxStreams) const;

    uint64_t warmPromptTokens() const { return m_warmPromptTokens; }
    uint64_t promptTokens() const { return m_promptTokens; }
    std::vector<uint64_t> takeStored() { return std::exchange(m_stored, {}); }
    std::vector<uint64_t> takeEvicted() { return std::exchange(m_evicted, {}); }

private:
    struct Stream {
        Key key;
        WorkClass workClass { WorkClass::Online };
        uint32_t remaining { 0 };
        bool isDecoding { false };
        uint64_t serial { 0 };
    };

    /// Stores the prefixes in the cache. Returns the share of the prompt that was cached before.
    double updateCache(const std::vector<uint64_t>& prefixes);
    void scheduleStep();
    void step();

    EventQueue& m_events;
    uint32_t m_index;
    double m_factor;
    EngineSpeed m_speed;
    const Observer& m_observer;
    double m_slowdown { 1 };
    bool m_isFailing { false };
    bool m_hasStep { false };
    std::vector<Stream> m_streams;
    uint64_t m_serial { 0 };
    uint64_t m_tokens { 0 };
    uint64_t m_tokensByClass[2] { 0, 0 };

    size_t m_cacheCapacity { 0 };
    std::list<uint64_t> m_cacheOrder;
    std::unordered_map<uint64_t, std::list<uint64_t>::iterator> m_cache;
    std::vector<uint64_t> m_stored;
    std::vector<uint64_t> m_evicted;
    uint64_t m_promptTokens { 0 };
    uint64_t m_warmPromptTokens { 0 };
};

}
