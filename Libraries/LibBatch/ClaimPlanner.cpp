#include <LibBatch/ClaimPlanner.h>

#include <LibCore/Error.h>

#include <algorithm>
#include <set>

namespace Chicorydock {

namespace {

    /// One page holds the open jobs of a usual day; more pages are needed only while their chunks are all claimed.
    constexpr size_t openJobsPage = 256;
    constexpr size_t maxOpenJobsPages = 8;
    /// Bounds the reads of one look for work.
    constexpr uint32_t maxScansPerLook = 4;
    /// Bounds the memory of a view.
    constexpr size_t maxClaimablePerView = 256;
    constexpr Milliseconds viewLifetime { 10'000 };
    /// Time after which a job whose rows or input could not be read is tried again.
    constexpr Milliseconds postponement { 60'000 };

    constexpr double initialWindow = 16;
    constexpr double maxWindow = 256;
    constexpr double windowGrowth = 2;
    /// With growth by 2, the window settles where about one claim in eleven loses a race (ln 2 / ln (16/15) = 10.7).
    constexpr double windowShrink = 15.0 / 16;

    constexpr double initialChunkSeconds = 60;
    constexpr double chunkSecondsWeight = 0.1;

}

ClaimPlanner::ClaimPlanner(JobStore& store, const Clock& clock, Random& random, Milliseconds lease, std::string holder)
    : m_store(store)
    , m_clock(clock)
    , m_random(random)
    , m_lease(lease)
    , m_holder(std::move(holder))
    , m_window(initialWindow)
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
        auto records = m_store.openJobs(cursor, openJobsPage);
        hasReadAll = records.size() < openJobsPage;
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
    // Jobs behind the last page that was read may still be open.
    std::erase_if(m_jobs, [&](const auto& entry) {
        return !listed.contains(entry.first) && (hasReadAll || JobStore::openKey(entry.second.record) <= cursor);
    });
    for (auto& [id, job] : m_jobs) {
        if (job.view && now - job.view->read > viewLifetime)
            job.view.reset();
    }
    m_scansLeft = maxScansPerLook;
}

std::optional<ClaimPlanner::Candidate> ClaimPlanner::next(
    const RoomCheck& hasRoom, const ChunkCheck& isWanted, const HeldCheck& isHeld)
{
    const MonotonicTime now = m_clock.now();
    const auto window = static_cast<size_t>(m_window);
    std::vector<std::pair<OpenJob*, size_t>> candidates;
    for (OpenJob* job : jobsBySlack()) {
        if (candidates.size() >= window)
            break;
        if (job->retryAt > now || !hasRoom(job->record))
            continue;
        if (!job->view) {
            if (m_scansLeft == 0)
                break;
            --m_scansLeft;
            try {
                if (!readView(*job, isHeld))
                    continue;
            } catch (const Error& error) {
                // One unreadable job must not keep the others from being worked on.
                if (error.kind() != ErrorKind::Internal)
                    throw;
                postpone(job->record.id);
                continue;
            }
        }
        for (size_t n = 0; n < job->view->claimable.size() && candidates.size() < window; ++n) {
            if (isWanted(job->view->claimable[n].record))
                candidates.emplace_back(job, n);
        }
    }
    if (candidates.empty())
        return {};
    const auto [job, position] = candidates[m_random.below(candidates.size())];
    return Candidate { job->stored, job->view->claimable[position] };
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

/// Reads the chunks of a job; returns whether one can be claimed.
bool ClaimPlanner::readView(OpenJob& job, const HeldCheck& isHeld)
{
    if (!loadJob(job)) {
        job.retryAt = m_clock.now() + m_lease;
        return false;
    }
    const WallTime now = m_clock.wallNow();
    OpenJob::View view { m_clock.now(), {} };
    job.unfinishedChunks = 0;
    job.claimedChunks = 0;
    for (auto& [first, chunk] : m_store.chunks(job.record)) {
        if (chunk.record.state == ChunkRecord::State::Done)
            continue;
        ++job.unfinishedChunks;
        job.claimedChunks += chunk.record.state == ChunkRecord::State::Claimed && chunk.record.expires > now;
        if (isHeld(job.record.id, first))
            continue;
        // A chunk that this node claimed but does not hold comes from a claim whose response was lost.
        const bool isForgotten = chunk.record.state == ChunkRecord::State::Claimed && chunk.record.holder == m_holder;
        if ((isForgotten || chunk.record.isClaimable(now)) && view.claimable.size() < maxClaimablePerView)
            view.claimable.push_back(std::move(chunk));
    }
    if (job.unfinishedChunks == 0)
        endIfFinished(*job.stored);
    if (view.claimable.empty()) {
        // The random part keeps nodes from looking at the same time.
        const auto delay = std::chrono::duration_cast<MonotonicTime::duration>(m_lease * (1 + m_random.unit()));
        job.retryAt = m_clock.now() + delay;
        return false;
    }
    job.view = std::move(view);
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

void ClaimPlanner::claimed(const Candidate& candidate)
{
    m_window = std::max(1.0, m_window * windowShrink);
    const auto it = m_jobs.find(candidate.job->record.id);
    if (it == m_jobs.end() || !it->second.view)
        return;
    OpenJob& job = it->second;
    std::erase_if(job.view->claimable,
        [&](const StoredChunk& chunk) { return chunk.record.first == candidate.chunk.record.first; });
    ++job.claimedChunks;
    // The view may have been cut to its bound, so an empty one is read again.
    if (job.view->claimable.empty())
        job.view.reset();
}

void ClaimPlanner::conflicted(const Candidate& candidate)
{
    m_window = std::min(maxWindow, m_window * windowGrowth);
    split(candidate);
}

void ClaimPlanner::split(const Candidate& candidate)
{
    const auto it = m_jobs.find(candidate.job->record.id);
    if (it != m_jobs.end())
        it->second.view.reset();
}

void ClaimPlanner::forget(const std::string& jobId) { m_jobs.erase(jobId); }

void ClaimPlanner::postpone(const std::string& jobId)
{
    const auto it = m_jobs.find(jobId);
    if (it == m_jobs.end())
        return;
    it->second.view.reset();
    it->second.retryAt = m_clock.now() + postponement;
}

void ClaimPlanner::committed(const StoredJob& job, const ChunkRecord& chunk, MonotonicTime::duration duration)
{
    m_chunkSeconds += chunkSecondsWeight * (toSeconds(duration) - m_chunkSeconds);
    const auto it = m_jobs.find(job.record.id);
    const bool hasOnlyChunk = chunk.count == job.record.total;
    // While there are claimable chunks, the job cannot be finished, and the scan is saved.
    if (it != m_jobs.end() && it->second.view && !hasOnlyChunk)
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
    record.writer = m_random.identifier();
    m_store.endJob(record, job.version);
}

}
