#include <LibRouting/PrefixAffinity.h>

#include <algorithm>
#include <cmath>

namespace Chicorydock {

namespace {

    constexpr size_t maxKeys = 16'384;
    // Endpoints cache prefixes for minutes under load. Without a cache event, a prefix counts as cached for this long
    // after work with it was sent.
    constexpr std::chrono::minutes sentLifetime { 2 };
    constexpr std::chrono::minutes storedLifetime { 15 };

}

PrefixAffinity::Holder& PrefixAffinity::findOrAddHolder(uint64_t key, uint32_t endpoint)
{
    Holders& holders = m_holders[key];
    ++holders.uses;
    m_order.push_back(key);
    const auto begin = holders.list.begin();
    const auto end = begin + holders.count;
    auto it = std::find_if(begin, end, [&](const Holder& it) { return it.endpoint == endpoint; });
    if (it == end) {
        if (holders.count < holdersPerKey)
            ++holders.count;
        else
            --it;
        *it = { endpoint, {}, {} };
    }
    // Keep the most recently used holder first.
    std::rotate(begin, it, it + 1);
    return holders.list.front();
}

void PrefixAffinity::forgetOldest()
{
    while (m_order.size() > maxKeys) {
        const auto it = m_holders.find(m_order.front());
        m_order.pop_front();
        if (it != m_holders.end() && --it->second.uses == 0)
            m_holders.erase(it);
    }
}

void PrefixAffinity::recordSent(const std::vector<uint64_t>& prefixes, uint32_t endpoint, MonotonicTime now)
{
    for (const uint64_t key : prefixes)
        findOrAddHolder(key, endpoint).sent = now;
    forgetOldest();
}

void PrefixAffinity::recordStored(const std::vector<uint64_t>& keys, uint32_t endpoint, MonotonicTime now)
{
    for (const uint64_t key : keys)
        findOrAddHolder(key, endpoint).stored = now;
    forgetOldest();
}

void PrefixAffinity::recordEvicted(const std::vector<uint64_t>& keys, uint32_t endpoint)
{
    for (const uint64_t key : keys) {
        const auto it = m_holders.find(key);
        if (it == m_holders.end())
            continue;
        Holders& holders = it->second;
        const auto begin = holders.list.begin();
        const auto end = begin + holders.count;
        const auto last = std::remove_if(begin, end, [&](const Holder& holder) { return holder.endpoint == endpoint; });
        holders.count = static_cast<uint8_t>(last - begin);
    }
}

void PrefixAffinity::recordGap(uint32_t endpoint, MonotonicTime now) { m_gaps[endpoint] = now; }

bool PrefixAffinity::isTrusted(const Holder& holder, MonotonicTime now) const
{
    if (holder.sent != MonotonicTime {} && now - holder.sent < sentLifetime)
        return true;
    if (holder.stored == MonotonicTime {} || now - holder.stored >= storedLifetime)
        return false;
    const auto gap = m_gaps.find(holder.endpoint);
    return gap == m_gaps.end() || gap->second < holder.stored;
}

std::vector<PrefixAffinity::Match> PrefixAffinity::find(const std::vector<uint64_t>& prefixes, MonotonicTime now) const
{
    std::vector<Match> matches;
    for (size_t n = prefixes.size(); n > 0 && matches.empty(); --n) {
        const auto it = m_holders.find(prefixes[n - 1]);
        if (it == m_holders.end())
            continue;
        // Each prefix is twice as long as the one before it.
        const double share = std::ldexp(1.0, static_cast<int>(n) - static_cast<int>(prefixes.size()));
        for (size_t i = 0; i < it->second.count; ++i) {
            const Holder& holder = it->second.list[i];
            if (isTrusted(holder, now))
                matches.push_back({ holder.endpoint, share, n });
        }
    }
    return matches;
}

}
