#pragma once

#include <LibCore/Clock.h>

#include <array>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace Chicorydock {

/// Tracks which endpoints probably hold which prompt prefixes in their caches, from the endpoints' cache events and
/// from a record of the work that this node sent. The events arrive late and with gaps; after a gap only the record of
/// sent work counts for that endpoint.
///
/// Memory is bounded: the prefixes that were recorded longest ago are dropped. Thread safety: none.
class PrefixAffinity {
public:
    /// An endpoint, by index, that holds a prefix of the prompt.
    struct Match {
        uint32_t endpoint { 0 };
        /// Share of the prompt that the longest prefix on the endpoint covers, in (0, 1].
        double share { 0 };
        /// Number of prefixes of the work up to and including that one.
        size_t prefixes { 0 };
    };

    /// Records that work with these prefixes was sent to the endpoint.
    void recordSent(const std::vector<uint64_t>& prefixes, uint32_t endpoint, MonotonicTime now);

    void recordStored(const std::vector<uint64_t>& keys, uint32_t endpoint, MonotonicTime now);
    void recordEvicted(const std::vector<uint64_t>& keys, uint32_t endpoint);

    /// Records that cache events of the endpoint were lost: its earlier events no longer count.
    void recordGap(uint32_t endpoint, MonotonicTime now);

    /// Returns the endpoints that hold the longest known prefix, most recently used first.
    std::vector<Match> find(const std::vector<uint64_t>& prefixes, MonotonicTime now) const;

    size_t size() const { return m_holders.size(); }

private:
    static constexpr size_t holdersPerKey = 4;

    struct Holder {
        uint32_t endpoint { 0 };
        /// When work with the prefix was last sent, and when an event last reported it as stored; epoch if never.
        MonotonicTime sent;
        MonotonicTime stored;
    };

    struct Holders {
        std::array<Holder, holdersPerKey> list {};
        uint8_t count { 0 };
        /// Number of entries in `m_order` that refer to the key.
        uint32_t uses { 0 };
    };

    Holder& findOrAddHolder(uint64_t key, uint32_t endpoint);
    bool isTrusted(const Holder&, MonotonicTime now) const;
    void forgetOldest();

    std::unordered_map<uint64_t, Holders> m_holders;
    std::deque<uint64_t> m_order;
    /// Time of the last gap in the cache events, by endpoint.
    std::unordered_map<uint32_t, MonotonicTime> m_gaps;
};

}
