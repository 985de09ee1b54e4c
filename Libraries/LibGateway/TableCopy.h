#pragma once

#include <LibCore/Clock.h>
#include <LibPlatform/RowStore.h>

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace Chicorydock {

/// A node's copy of a table of the store and of its latest changes, from which other nodes can be served. Its version
/// never goes down, and a row is never replaced by an older one.
///
/// Thread safety: none.
class TableCopy {
public:
    /// Number of changes that are kept. A node that asks for earlier ones reads them from the store.
    static constexpr size_t maxChanges = 2'000;

    /// Replaces the table by a complete listing, unless that is older. `storeVersion` is the version of the newest
    /// change that the listing contains according to the store.
    void putListing(const std::vector<StoredRow>& rows, uint64_t storeVersion);

    /// Adds the changes after version `after`. They are ignored if changes before them are missing.
    void putChanges(uint64_t after, const RowPage&);

    /// Records that the copy was up to date at that time.
    void confirm(MonotonicTime);

    bool isListed() const { return m_isListed; }

    /// Version up to which all changes are known.
    uint64_t version() const { return m_version; }

    /// Latest time at which the copy was certainly up to date, nothing before the first listing.
    std::optional<MonotonicTime> confirmedAt() const { return m_confirmedAt; }

    /// Returns all rows.
    RowPage rows() const;

    /// Returns whether there are changes after that version, or nothing if they are no longer known.
    std::optional<bool> hasChangesAfter(uint64_t version) const;

    /// Returns the changes after that version, or nothing if they are no longer known.
    std::optional<RowPage> changesAfter(uint64_t version) const;

private:
    void apply(const StoredRow&);
    /// Returns the row of a listing, or what is known about the row if that is newer.
    StoredRow newest(const StoredRow&) const;

    std::map<std::string, StoredRow> m_rows;
    /// Versions of the latest removals, by key.
    std::map<std::string, uint64_t> m_removals;
    /// In the order of versions.
    std::deque<StoredRow> m_changes;
    bool m_isListed { false };
    uint64_t m_version { 0 };
    /// Version after which all changes are in `m_changes`.
    uint64_t m_oldestVersion { 0 };
    std::optional<MonotonicTime> m_confirmedAt;
};

}
