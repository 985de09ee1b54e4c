#pragma once

#include <LibBatch/JobStore.h>
#include <LibCore/Random.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace Chicorydock {

/// Selects chunks to claim with few reads of the store.
///
/// Open jobs are ordered by deadline slack: the time to the deadline minus the estimated time for the remaining chunks.
/// The next chunk is drawn at random from the candidate window, the first claimable chunks in this order. The size of
/// the window adapts to contention: it doubles after a conflicting claim and shrinks after a successful one, so that a
/// single node follows the order strictly and many nodes rarely collide.
///
/// Thread safety: none; used on the batch thread.
class ClaimPlanner {
public:
    /// `lease` is the minimum time after which a job without claimable chunks is scanned again.
    ClaimPlanner(JobStore&, const Clock&, Random&, Milliseconds lease, std::string holder);

    struct Candidate {
        std::shared_ptr<const StoredJob> job;
        StoredChunk chunk;
    };

    /// Returns whether the endpoints have free capacity for items of the job.
    using CapacityCheck = std::function<bool(const JobRecord&)>;
    /// Returns whether this node may claim the chunk now.
    using ChunkCheck = std::function<bool(const ChunkRecord&)>;
    /// Returns whether this node holds the chunk in memory.
    using HeldCheck = std::function<bool(const std::string& jobId, uint32_t first)>;

    /// Reads the open jobs. Called once per poll for work, before `next()`.
    void refresh();

    /// Returns the next chunk to claim, or nothing if there is none. Ends jobs whose chunks are all done.
    std::optional<Candidate> next(const CapacityCheck&, const ChunkCheck&, const HeldCheck&);

    /// Records that the candidate was claimed.
    void recordClaim(const Candidate&);
    /// Records that the claim failed because another node had changed the chunk.
    void recordConflict(const Candidate&);
    /// Discards the scan of the candidate's job, for example because the candidate was split.
    void invalidateScan(const Candidate&);
    /// Removes a job that has ended.
    void removeJob(const std::string& jobId);
    /// Defers a job that cannot be processed now, for example because its input is unreadable.
    void postponeJob(const std::string& jobId);

    /// Records that a chunk of the job was committed as done, `duration` after its claim. Ends the job if it was the
    /// last one.
    void recordCommit(const StoredJob&, const ChunkRecord&, MonotonicTime::duration duration);

private:
    struct OpenJob {
        JobRecord record;
        std::shared_ptr<const StoredJob> stored;
        /// Result of the last scan of the chunks; absent if there was none or it is stale.
        struct Scan {
            MonotonicTime scannedAt;
            std::vector<StoredChunk> claimable;
        };
        std::optional<Scan> scan;
        uint32_t unfinishedChunks { 0 };
        uint32_t claimedChunks { 0 };
        /// The job is skipped until this time, because it probably has nothing to claim.
        MonotonicTime retryAt;
    };
    using Jobs = std::map<std::string, OpenJob>;

    std::vector<OpenJob*> jobsBySlack();
    MonotonicTime::duration slack(const OpenJob&, WallTime now) const;
    bool scanChunks(OpenJob&, const HeldCheck&);
    bool loadJob(OpenJob&);
    void endIfFinished(const StoredJob&);

    JobStore& m_store;
    const Clock& m_clock;
    Random& m_random;
    Milliseconds m_lease;
    std::string m_holder;
    Jobs m_jobs;
    /// Number of claimable chunks from which the next one is drawn.
    double m_candidateWindow;
    /// Moving average of the time from claim to commit, in seconds.
    double m_chunkSeconds;
    uint32_t m_scansLeft { 0 };
};

}
