#include <Tests/Fakes/engine/PrefixCache.h>

#include <LibCore/Digest.h>
#include <LibRouting/PrefixKeys.h>

namespace Chicorydock {

namespace {

    constexpr uint32_t bytesPerToken = 4;
    constexpr uint32_t firstPrefixTokens = 256 / bytesPerToken;
    constexpr size_t maxLoggedEvents = 10'000;
    constexpr size_t maxEventsPerResponse = 1'000;

}

PrefixCache::PrefixCache(const EngineSettings& settings)
    : m_settings(settings)
{
}

uint32_t PrefixCache::use(const std::string& model, const std::string& prompt, MonotonicTime now)
{
    uint32_t cachedTokens = 0;
    uint32_t prefixTokens = firstPrefixTokens;
    uint32_t segmentTokens = firstPrefixTokens;
    for (const uint64_t key : prefixKeys(model, prompt)) {
        const auto it = m_index.find(key);
        if (it != m_index.end()) {
            cachedTokens = prefixTokens;
            m_entries.splice(m_entries.begin(), m_entries, it->second);
        } else {
            store({ .prefix = key, .tokens = segmentTokens }, now);
        }
        segmentTokens = prefixTokens;
        prefixTokens *= 2;
    }
    return cachedTokens;
}

void PrefixCache::store(Entry entry, MonotonicTime now)
{
    if (entry.tokens > m_settings.cacheTokens)
        return;
    while (m_usedTokens + entry.tokens > m_settings.cacheTokens)
        evict(now);
    m_entries.push_front(entry);
    m_index.emplace(entry.prefix, m_entries.begin());
    m_usedTokens += entry.tokens;
    logEvent(true, entry.prefix, now);
}

void PrefixCache::evict(MonotonicTime now)
{
    const Entry entry = m_entries.back();
    m_entries.pop_back();
    m_index.erase(entry.prefix);
    m_usedTokens -= entry.tokens;
    logEvent(false, entry.prefix, now);
}

void PrefixCache::logEvent(bool stored, uint64_t prefix, MonotonicTime now)
{
    ++m_sequence;
    const uint64_t draw = stableHash(std::to_string(m_sequence), m_settings.seed);
    if (static_cast<double>(draw >> 11) * 0x1p-53 < m_settings.cacheEventLoss)
        return;
    m_events.push_back({ .event = { .sequence = m_sequence, .stored = stored, .prefix = prefix },
        .publishedAt = now + m_settings.cacheEventDelay });
    if (m_events.size() > maxLoggedEvents)
        m_events.pop_front();
}

CacheEvents PrefixCache::eventsAfter(uint64_t sequence, MonotonicTime now) const
{
    CacheEvents result;
    for (const LoggedEvent& it : m_events) {
        if (it.publishedAt > now || result.events.size() == maxEventsPerResponse)
            break;
        if (it.event.sequence > sequence)
            result.events.push_back(it.event);
    }
    return result;
}

}
