#pragma once

#include <LibBatch/JobStore.h>
#include <LibCore/Random.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace Chicorydock {

/// Finds chunks to claim with few reads of the store.
///
/// Open jobs are ordered by deadline slack: the time to the deadline less the estimated time for the remaining chunks.
/// The next claim is drawn at random from the first claimable chunks in this order. The number of chunks to draw from
/// adapts to contention: it doubles after a lost race and shrinks after a success, so that a node that is alone follows
/// the order strictly and many nodes rarely collide.
///
/// Thread safety: none; used on the batch thread.
class ClaimPlanner {
public:
    /// `lease` is the time after which a job whose chunks are all claimed is looked at again.
    ClaimPlanner(JobStore&, const Clock&, Random&, Milliseconds lease, std::string holder);

    struct Candidate {
        std::shared_ptr<const StoredJob> job;
        StoredChunk chunk;
    };

    /// Says whether the endpoints have room for items of the job.
    using RoomCheck = std::function<bool(const JobRecord&)>;
    /// Says whether this node wants the chunk now.
    using ChunkCheck = std::function<bool(const ChunkRecord&)>;
    /// Says whether this node holds the chunk in memory.
    using HeldCheck = std::function<bool(const std::string& jobId, uint32_t first)>;

    /// Reads the open jobs. Called once per look for work, before `next()`.
    void refresh();

    /// Draws the next chunk to claim, or nothing. Ends jobs whose chunks are all done.
    std::optional<Candidate> next(const RoomCheck&, const ChunkCheck&, const HeldCheck&);

    /// The claim of the candidate took effect.
    void claimed(const Candidate&);
    /// The candidate's chunk has changed: another node was faster.
    void conflicted(const Candidate&);
    /// The candidate was split; its parts are to be read.
    void split(const Candidate&);
    /// The job has ended.
    void forget(const std::string& jobId);
    /// The job cannot be worked on now, for example because its input is not readable.
    void postpone(const std::string& jobId);

    /// A chunk of the job was committed as done, `duration` after its claim. Ends the job if it was the last one.
    void committed(const StoredJob&, const ChunkRecord&, MonotonicTime::duration duration);

private:
    struct OpenJob {
        JobRecord record;
        std::shared_ptr<const StoredJob> stored;
        /// What the last scan of the chunks found; absent if there was none or it is out of date.
        struct View {
            MonotonicTime read;
            std::vector<StoredChunk> claimable;
        };
        std::optional<View> view;
        uint32_t unfinishedChunks { 0 };
        uint32_t claimedChunks { 0 };
        /// Before this time there is probably nothing to claim.
        MonotonicTime retryAt;
    };
    using Jobs = std::map<std::string, OpenJob>;

    std::vector<OpenJob*> jobsBySlack();
    MonotonicTime::duration slack(const OpenJob&, WallTime now) const;
    bool readView(OpenJob&, const HeldCheck&);
    bool loadJob(OpenJob&);
    void endIfFinished(const StoredJob&);

    JobStore& m_store;
    const Clock& m_clock;
    Random& m_random;
    Milliseconds m_lease;
    std::string m_holder;
    Jobs m_jobs;
    double m_window;
    /// Moving average of the time from claim to commit.
    double m_chunkSeconds;
    uint32_t m_scansLeft { 0 };
};

}
