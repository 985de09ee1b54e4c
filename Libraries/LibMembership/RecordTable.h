#pragma once

#include <LibCore/Clock.h>
#include <LibMembership/PeerMessage.h>

#include <map>

namespace Chicorydock {

/// The gossip records that this node knows, by key; the highest version of a key wins.
///
/// Thread safety: none.
class RecordTable {
public:
    /// Stores the record if it is new or has a higher version than the known one; returns whether it did.
    bool put(const GossipRecord&, MonotonicTime now);
    void remove(const std::string& key);

    const GossipRecord* find(const std::string& key) const;
    std::vector<GossipRecord> withPrefix(const std::string& prefix) const;
    std::vector<GossipRecord> all() const { return withPrefix({}); }
    size_t size() const { return m_entries.size(); }

    /// Returns the key of the least recently changed record. Precondition: the table is not empty.
    std::string oldest() const;

    /// Returns whether the record changes too often to be compared between peers: the load summaries under `summary/`.
    static bool isVolatile(const std::string& key) { return key.starts_with("summary/"); }

    /// Returns a digest of keys and versions of all records that are not volatile.
    uint32_t digest() const { return m_digest; }

private:
    struct Entry {
        GossipRecord record;
        MonotonicTime changedAt;
    };

    std::map<std::string, Entry> m_entries;
    uint32_t m_digest { 0 };
};

}
