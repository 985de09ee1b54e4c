#include <LibBatch/ClaimPlanner.h>

#include <LibCore/Error.h>

#include <algorithm>
#include <set>

namespace Chicorydock {

namespace {

    /// One page holds the open jobs of a typical day. More pages are read only while all chunks of the jobs on the
    /// earlier ones are claimed.
    constexpr size_t openJobsPageSize = 256;
    constexpr size_t maxOpenJobsPages = 8;
    /// Limits the number of reads per poll for work.
    constexpr uint32_t maxScansPerPoll = 4;
    /// Limits the memory of a scan.
    constexpr size_t maxClaimablePerScan = 256;
    constexpr Milliseconds scanLifetime { 10'000 };
    /// Time after which a job whose rows or input could not be read is retried.
    constexpr Milliseconds postponeDelay { 60'000 };

    constexpr double initialCandidateWindow = 16;
    constexpr double maxCandidateWindow = 256;
    constexpr double windowGrowthFactor = 2;
    /// With a growth factor of 2, the window converges to a size at which about one claim in eleven conflicts
    /// (ln 2 / ln (16/15) = 10.7).
    constexpr double windowShrinkFactor = 15.0 / 16;

    constexpr double initialChunkSeconds = 60;
    constexpr double chunkSecondsWeight = 0.1;

}

ClaimPlanner::ClaimPlanner(JobStore& store, const Clock& clock, Random& random, Milliseconds lease, std::string holder)
    : m_store(store)
    , m_clock(clock)
    , m_random(random)
    , m_lease(lease)
    , m_holder(std::move(holder))
    , m_candidateWindow(initialCandidateWindow)
    , m_chunkSeconds(initialChunkSeconds)
{
}

void ClaimPlanner::refresh()
{
    std::set<std::string> listed;
    std::string cursor;
    bool hasReadAll = false;
    const MonotonicTime now = m_clock.now();
    for (size_t page = 0; page < maxOpenJobsPages; ++page) {
        auto records = m_store.openJobs(cursor, openJobsPageSize);
        hasReadAll = records.size() < openJobsPageSize;
        bool mayHaveWork = false;
        for (JobRecord& record : records) {
            listed.insert(record.id);
            OpenJob& job = m_jobs[record.id];
            if (job.record.id.empty()) {
                job.unfinishedChunks = (record.total + record.chunkItems - 1) / record.chunkItems;
                job.record = std::move(record);
            }
            mayHaveWork |= job.retryAt <= now;
        }
        if (hasReadAll || mayHaveWork)
            break;
    }
    // Jobs after the last page that was read may still be open.
    std::erase_if(m_jobs, [&](const auto& entry) {
        return !listed.contains(entry.first) && (hasReadAll || JobStore::openJobKey(entry.second.record) <= cursor);
    });
    for (auto& [id, job] : m_jobs) {
        if (job.scan && now - job.scan->scannedAt > scanLifetime)
            job.scan.reset();
    }
    m_scansLeft = maxScansPerPoll;
}

std::optional<ClaimPlanner::Candidate> ClaimPlanner::next(
    const CapacityCheck& hasCapacity, const ChunkCheck& isWanted, const HeldCheck& isHeld)
{
    const MonotonicTime now = m_clock.now();
    const auto window = static_cast<size_t>(m_candidateWindow);
    std::vector<std::pair<OpenJob*, size_t>> candidates;
    for (OpenJob* job : jobsBySlack()) {
        if (candidates.size() >= window)
            break;
        if (job->retryAt > now || !hasCapacity(job->record))
            continue;
        if (!job->scan) {
            if (m_scansLeft == 0)
                break;
            --m_scansLeft;
            try {
                if (!scanChunks(*job, isHeld))
                    continue;
            } catch (const Error& error) {
                // One unreadable job must not block the others.
                if (error.kind() != ErrorKind::Internal)
                    throw;
                postponeJob(job->record.id);
                continue;
            }
        }
        for (size_t n = 0; n < job->scan->claimable.size() && candidates.size() < window; ++n) {
            if (isWanted(job->scan->claimable[n].record))
                candidates.emplace_back(job, n);
        }
    }
    if (candidates.empty())
        return {};
    const auto [job, position] = candidates[m_random.below(candidates.size())];
    return Candidate { job->stored, job->scan->claimable[position] };
}

std::vector<ClaimPlanner::OpenJob*> ClaimPlanner::jobsBySlack()
{
    const WallTime now = m_clock.wallNow();
    std::vector<std::pair<MonotonicTime::duration, OpenJob*>> ordered;
    ordered.reserve(m_jobs.size());
    for (auto& [id, job] : m_jobs)
        ordered.emplace_back(slack(job, now), &job);
    std::ranges::stable_sort(ordered, {}, [](const auto& entry) { return entry.first; });
    std::vector<OpenJob*> jobs;
    jobs.reserve(ordered.size());
    for (const auto& [time, job] : ordered)
        jobs.push_back(job);
    return jobs;
}

MonotonicTime::duration ClaimPlanner::slack(const OpenJob& job, WallTime now) const
{
    const double rounds = static_cast<double>(job.unfinishedChunks) / std::max(1U, job.claimedChunks);
    return std::chrono::duration_cast<MonotonicTime::duration>(job.record.deadline - now)
        - fromSeconds(rounds * m_chunkSeconds);
}

/// Reads the chunks of a job. Returns whether one of them can be claimed.
bool ClaimPlanner::scanChunks(OpenJob& job, const HeldCheck& isHeld)
{
    if (!loadJob(job)) {
        job.retryAt = m_clock.now() + m_lease;
        return false;
    }
    const WallTime now = m_clock.wallNow();
    OpenJob::Scan scan { m_clock.now(), {} };
    job.unfinishedChunks = 0;
    job.claimedChunks = 0;
    for (auto& [first, chunk] : m_store.chunks(job.record)) {
        if (chunk.record.state == ChunkRecord::State::Done)
            continue;
        ++job.unfinishedChunks;
        job.claimedChunks += chunk.record.state == ChunkRecord::State::Claimed && chunk.record.expires > now;
        if (isHeld(job.record.id, first))
            continue;
        // This node claimed the chunk but does not hold it: the response to the claim was lost.
        const bool isOrphaned = chunk.record.state == ChunkRecord::State::Claimed && chunk.record.holder == m_holder;
        if ((isOrphaned || chunk.record.isClaimable(now)) && scan.claimable.size() < maxClaimablePerScan)
            scan.claimable.push_back(std::move(chunk));
    }
    if (job.unfinishedChunks == 0)
        endIfFinished(*job.stored);
    if (scan.claimable.empty()) {
        // The jitter prevents nodes from scanning at the same time.
        const auto delay = std::chrono::duration_cast<MonotonicTime::duration>(m_lease * (1 + m_random.unit()));
        job.retryAt = m_clock.now() + delay;
        return false;
    }
    job.scan = std::move(scan);
    return true;
}

bool ClaimPlanner::loadJob(OpenJob& job)
{
    if (!job.stored) {
        auto stored = m_store.job(job.record.id);
        if (!stored || !stored->record.isOpen())
            return false;
        job.stored = std::make_shared<const StoredJob>(std::move(*stored));
    }
    return true;
}

void ClaimPlanner::recordClaim(const Candidate& candidate)
{
    m_candidateWindow = std::max(1.0, m_candidateWindow * windowShrinkFactor);
    const auto it = m_jobs.find(candidate.job->record.id);
    if (it == m_jobs.end() || !it->second.scan)
        return;
    OpenJob& job = it->second;
    std::erase_if(job.scan->claimable,
        [&](const StoredChunk& chunk) { return chunk.record.first == candidate.chunk.record.first; });
    ++job.claimedChunks;
    // The scan may have been truncated to its limit, so the chunks are scanned again when it is used up.
    if (job.scan->claimable.empty())
        job.scan.reset();
}

void ClaimPlanner::recordConflict(const Candidate& candidate)
{
    m_candidateWindow = std::min(maxCandidateWindow, m_candidateWindow * windowGrowthFactor);
    invalidateScan(candidate);
}

void ClaimPlanner::invalidateScan(const Candidate& candidate)
{
    const auto it = m_jobs.find(candidate.job->record.id);
    if (it != m_jobs.end())
        it->second.scan.reset();
}

void ClaimPlanner::removeJob(const std::string& jobId) { m_jobs.erase(jobId); }

void ClaimPlanner::postponeJob(const std::string& jobId)
{
    const auto it = m_jobs.find(jobId);
    if (it == m_jobs.end())
        return;
    it->second.scan.reset();
    it->second.retryAt = m_clock.now() + postponeDelay;
}

void ClaimPlanner::recordCommit(const StoredJob& job, const ChunkRecord& chunk, MonotonicTime::duration duration)
{
    m_chunkSeconds += chunkSecondsWeight * (toSeconds(duration) - m_chunkSeconds);
    const auto it = m_jobs.find(job.record.id);
    const bool isOnlyChunk = chunk.count == job.record.total;
    // A job with claimable chunks cannot be finished, so the scan that checks for this is skipped.
    if (it != m_jobs.end() && it->second.scan && !isOnlyChunk)
        return;
    endIfFinished(job);
}

void ClaimPlanner::endIfFinished(const StoredJob& job)
{
    JobRecord record = job.record;
    record.completed = 0;
    record.failed = 0;
    for (const auto& [first, chunk] : m_store.chunks(record)) {
        if (chunk.record.state != ChunkRecord::State::Done)
            return;
        record.completed += chunk.record.succeeded();
        record.failed += chunk.record.failed();
    }
    record.state = JobView::State::Completed;
    record.writeToken = m_random.identifier();
    m_store.endJob(record, job.version);
}

}
