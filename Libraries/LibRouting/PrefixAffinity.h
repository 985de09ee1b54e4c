#pragma once

#include <LibCore/Clock.h>

#include <array>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace Chicorydock {

/// Knows which endpoints probably hold which prompt prefixes: from the endpoints' cache events, and from an own record
/// of what was sent where. The events come late and with gaps; after a gap only the own record counts for that
/// endpoint.
///
/// Memory is bounded: the prefixes that were noted longest ago are forgotten. Thread safety: none.
class PrefixAffinity {
public:
    /// An endpoint, by index, that holds a prefix of the prompt.
    struct Match {
        uint32_t endpoint { 0 };
        /// Share of the prompt that the longest prefix there covers, in (0, 1].
        double share { 0 };
    };

    /// Work with these prefixes was sent to the endpoint.
    void noteSent(const std::vector<uint64_t>& prefixes, uint32_t endpoint, MonotonicTime now);

    void noteStored(const std::vector<uint64_t>& keys, uint32_t endpoint, MonotonicTime now);
    void noteEvicted(const std::vector<uint64_t>& keys, uint32_t endpoint);

    /// Events of the endpoint were lost: what its events said before no longer counts.
    void noteGap(uint32_t endpoint, MonotonicTime now);

    /// Returns the endpoints that hold the longest known prefix, most recently used first.
    std::vector<Match> find(const std::vector<uint64_t>& prefixes, MonotonicTime now) const;

    size_t size() const { return m_holders.size(); }

private:
    static constexpr size_t holdersPerKey = 4;

    struct Holder {
        uint32_t endpoint { 0 };
        /// When work with the prefix was sent, and when an event reported it; epoch if never.
        MonotonicTime sent;
        MonotonicTime stored;
    };

    struct Holders {
        std::array<Holder, holdersPerKey> list {};
        uint8_t count { 0 };
        /// Number of entries in the order of use that refer to the key.
        uint32_t uses { 0 };
    };

    Holder& holder(uint64_t key, uint32_t endpoint);
    bool isTrusted(const Holder&, MonotonicTime now) const;
    void forgetOldest();

    std::unordered_map<uint64_t, Holders> m_holders;
    std::deque<uint64_t> m_order;
    /// By endpoint: when its last gap was.
    std::unordered_map<uint32_t, MonotonicTime> m_gaps;
};

}
