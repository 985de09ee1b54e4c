#pragma once

#include <LibBatch/JobService.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Chicorydock {

/// The durable state of a job, stored in a row of table `jobs`. It is written when the job is accepted and when it
/// ends, so its version does not change while the job is open.
struct JobRecord {
    std::string id;
    std::string workspace;
    JobView::State state { JobView::State::InProgress };
    uint32_t total { 0 };
    /// Number of items in a chunk that has not been split.
    uint32_t chunkItems { 1 };
    /// The distinct paths of the items, at most `maxPaths`.
    std::vector<std::string> paths;
    bool unrepeatable { false };
    WallTime created;
    WallTime deadline;
    /// Digest of workspace, items and options. It names the input objects and distinguishes a resubmitted job from a
    /// different one with the same id.
    std::string digest;
    /// Final counts of a completed job.
    uint32_t completed { 0 };
    uint32_t failed { 0 };
    /// Unique token of the write that produced this row.
    std::string writeToken;

    /// Paths beyond this number are not recorded. Paths are only used to check for free capacity before a claim.
    static constexpr size_t maxPaths = 8;

    bool isOpen() const { return state == JobView::State::InProgress; }

    std::string serialize() const;
    /// Throws Error(Internal) if the text is not a job record.
    static JobRecord parse(std::string_view text);

    auto operator<=>(const JobRecord&) const = default;
};

}
