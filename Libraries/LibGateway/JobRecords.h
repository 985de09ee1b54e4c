#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/JobHead.h>

#include <cstdint>
#include <map>
#include <string>

namespace Chicorydock {

/// The newest known version of the record of each job. Replies of the store and the feed of jobs bring versions in any
/// order, and an older one never replaces a newer one, nor brings a removed record back.
///
/// Thread safety: none.
class JobRecords {
public:
    using Records = std::map<std::string, JobHead>;

    /// Adds a version of a record. Returns whether it is the newest that is known.
    bool put(const JobHead&);

    /// Records that the record was removed at that version of the store, unless a newer version of it is known. Returns
    /// whether it is gone.
    bool remove(const std::string& jobId, uint64_t version, MonotonicTime now);

    /// Returns the newest version of the record, or null if there is none.
    const JobHead* find(const std::string& jobId) const;

    bool contains(const std::string& jobId) const { return m_records.contains(jobId); }

    /// Forgets removals that no late reply can contradict any more.
    void forgetOldRemovals(MonotonicTime now);

    /// The records by the identifiers of their jobs.
    const Records& all() const { return m_records; }

private:
    struct Removal {
        uint64_t version { 0 };
        MonotonicTime at;
    };

    /// Returns whether no newer version of the record is known, and no later removal.
    bool isNewest(const JobHead&) const;

    Records m_records;
    std::map<std::string, Removal> m_removals;
};

}
