#include <LibBatch/BatchController.h>

#include <LibBatch/SegmentFile.h>
#include <LibCore/Error.h>

#include <algorithm>
#include <set>

namespace Chicorydock {

namespace {

    constexpr Milliseconds minStoreBackoff { 500 };
    constexpr Milliseconds maxStoreBackoff { 8'000 };
    /// Interval between checks of the executor's free capacity while chunks are held.
    constexpr Milliseconds dispatchInterval { 50 };
    /// Claim conflicts after which a poll for work ends.
    constexpr int maxClaimConflicts = 4;

    std::string chunkId(const HeldChunk& chunk)
    {
        return chunk.job().record.id + '/' + std::to_string(chunk.stored().record.first);
    }

}

/// Queue of outcomes from the executor's threads. Callbacks share ownership, so that a late callback may outlive the
/// controller.
struct BatchController::Inbox {
    struct Entry {
        uint64_t serial { 0 };
        uint32_t index { 0 };
        ItemOutcome outcome;
    };

    std::mutex mutex;
    std::vector<Entry> entries;
    std::function<void()> wake;

    void push(Entry entry)
    {
        std::function<void()> handler;
        {
            const std::lock_guard guard(mutex);
            entries.push_back(std::move(entry));
            handler = wake;
        }
        if (handler)
            handler();
    }

    std::vector<Entry> drain()
    {
        const std::lock_guard guard(mutex);
        return std::exchange(entries, {});
    }
};

BatchController::BatchController(BatchOptions options, TableService& tables, ObjectStore& objects,
    ItemExecutor& executor, const Clock& clock, uint64_t seed, EventSink eventSink)
    : m_options(std::move(options))
    , m_executor(executor)
    , m_clock(clock)
    , m_random(seed)
    , m_holder(m_options.nodeId + '#' + m_random.identifier())
    , m_store(tables, objects)
    , m_planner(m_store, clock, m_random, m_options.lease, m_holder)
    , m_eventSink(std::move(eventSink))
    , m_inbox(std::make_shared<Inbox>())
    , m_pollInterval(m_options.minPollInterval)
    , m_storeBackoff(minStoreBackoff)
{
}

BatchController::~BatchController()
{
    {
        const std::lock_guard guard(m_inbox->mutex);
        m_inbox->wake = {};
    }
    for (const auto& chunk : m_chunks) {
        for (const HeldItem& held : chunk->items()) {
            if (held.state == HeldItem::State::Running)
                m_executor.cancel(held.handle);
        }
    }
}

void BatchController::setWakeHandler(std::function<void()> handler)
{
    const std::lock_guard guard(m_inbox->mutex);
    m_inbox->wake = std::move(handler);
}

void BatchController::tick(MonotonicTime now)
{
    m_lastTick = now;
    processOutcomes(now);
    if (m_isReleasing)
        cancelRepeatableItems();
    // Items are started both before and after the calls to the store, because these may block until their timeout.
    dispatch(now);
    runStoreStep([this] { renewLeases(); });
    runStoreStep([&] { checkCancellations(now); });
    runStoreStep([this] { commitChunks(); });
    if (!m_isReleasing)
        runStoreStep([&] { pollForWork(now); });
    runStoreStep([this] { loadChunks(); });
    dispatch(now);
}

MonotonicTime BatchController::nextTick() const
{
    if (!m_chunks.empty())
        return m_lastTick + dispatchInterval;
    return std::max(m_nextPoll, m_storeRetryAt);
}

/// Runs a step that calls the store, unless the backoff after a failed call is still in effect. Returns whether the
/// step succeeded.
bool BatchController::runStoreStep(const std::function<void()>& step)
{
    if (m_clock.now() < m_storeRetryAt)
        return false;
    try {
        step();
        m_storeBackoff = minStoreBackoff;
        return true;
    } catch (const Error& error) {
        record("job", "store_failed", m_holder, { { "message", QString::fromStdString(error.message()) } });
        m_storeRetryAt = m_clock.now() + m_storeBackoff;
        m_storeBackoff = std::min(maxStoreBackoff, m_storeBackoff * 2);
        return false;
    }
}

void BatchController::processOutcomes(MonotonicTime now)
{
    for (const Inbox::Entry& entry : m_inbox->drain()) {
        const auto it = std::ranges::find(m_chunks, entry.serial, &HeldChunk::serial);
        if (it == m_chunks.end())
            continue;
        HeldItem* held = (*it)->findItem(entry.index);
        if (held && held->state == HeldItem::State::Running)
            applyOutcome(**it, *held, entry.outcome, now);
    }
}

void BatchController::applyOutcome(HeldChunk& chunk, HeldItem& held, const ItemOutcome& outcome, MonotonicTime now)
{
    const bool isRepeatable = !chunk.job().record.unrepeatable;
    switch (outcome.kind) {
    case ItemOutcome::Kind::Completed:
        endItem(held, outcome.result);
        return;
    case ItemOutcome::Kind::NotRun:
        held.state = HeldItem::State::Waiting;
        held.notBefore = now + m_options.retryDelay;
        return;
    case ItemOutcome::Kind::MayHaveRun:
        if (!isRepeatable) {
            endItem(held, SegmentFile::errorResult(ErrorKind::MayHaveRun, "the outcome of the item is not known"));
            return;
        }
        break;
    case ItemOutcome::Kind::Failed:
        break;
    }
    ++held.attempts;
    if (isRepeatable && held.attempts < m_options.maxItemAttempts) {
        held.state = HeldItem::State::Waiting;
        held.notBefore = now + m_options.retryDelay;
        return;
    }
    endItem(held,
        SegmentFile::isSuccess(outcome.result)
            ? SegmentFile::errorResult(ErrorKind::EndpointFailed, "every attempt at the item failed")
            : outcome.result);
}

void BatchController::endItem(HeldItem& held, ItemResult result)
{
    held.state = HeldItem::State::Ended;
    held.result = std::move(result);
    ++m_counters.itemsEnded;
}

void BatchController::renewLeases()
{
    const MonotonicTime start = m_clock.now();
    const auto isDue = [&](const auto& chunk) { return chunk->leaseEnd() - start <= m_options.lease / 2; };
    if (std::ranges::none_of(m_chunks, isDue))
        return;
    const WallTime expires = m_clock.wallNow() + m_options.lease;
    // All leases are renewed in one transaction, because renewals are the most frequent writes. The loop terminates,
    // because each conflict drops or updates one chunk.
    for (size_t attempts = m_chunks.size() + 1; attempts > 0 && !m_chunks.empty(); --attempts) {
        std::vector<std::pair<std::string, StoredChunk>> renewals;
        for (const auto& chunk : m_chunks) {
            StoredChunk stored = chunk->stored();
            stored.record.expires = expires;
            stored.record.writeToken = m_random.identifier();
            renewals.emplace_back(chunk->job().record.id, std::move(stored));
        }
        CommitResult result;
        try {
            result = m_store.renewChunks(renewals);
        } catch (const Error& error) {
            if (error.kind() != ErrorKind::OutcomeUnknown)
                throw;
            std::vector<HeldChunk*> held;
            for (const auto& chunk : m_chunks)
                held.push_back(chunk.get());
            for (HeldChunk* chunk : held)
                refreshHeld(*chunk);
            return;
        }
        if (!result.committed) {
            refreshHeld(*m_chunks[result.conflictingOperation]);
            continue;
        }
        for (size_t n = 0; n < m_chunks.size(); ++n) {
            renewals[n].second.version = result.versions[n];
            m_chunks[n]->setStored(std::move(renewals[n].second));
            m_chunks[n]->setLeaseEnd(start + m_options.lease);
        }
        return;
    }
}

/// Rereads the row of a held chunk. Returns whether the chunk is still held; if not, it has been removed from memory.
bool BatchController::refreshHeld(HeldChunk& chunk)
{
    const ChunkRecord& held = chunk.stored().record;
    auto stored = m_store.chunk(chunk.job().record.id, held.first);
    if (stored && chunk.pendingCommit() && stored->record.writeToken == chunk.pendingCommit()->record.writeToken) {
        finishCommit(chunk);
        return false;
    }
    const bool isStillHeld = stored && stored->record.state == ChunkRecord::State::Claimed
        && stored->record.holder == m_holder && stored->record.epoch == held.epoch;
    if (!isStillHeld) {
        drop(chunk, "lost");
        return false;
    }
    chunk.setStored(std::move(*stored));
    return true;
}

void BatchController::checkCancellations(MonotonicTime now)
{
    if (m_chunks.empty() || now < m_nextCancelCheck)
        return;
    m_nextCancelCheck = now + m_options.cancelCheckInterval;
    std::set<std::string> jobIds;
    for (const auto& chunk : m_chunks)
        jobIds.insert(chunk->job().record.id);
    for (const std::string& jobId : jobIds) {
        const auto job = m_store.job(jobId);
        if (job && job->record.isOpen())
            continue;
        for (size_t n = m_chunks.size(); n-- > 0;) {
            if (m_chunks[n]->job().record.id == jobId)
                drop(*m_chunks[n], "job_ended");
        }
    }
}

/// Cancels the items of a chunk that this node no longer processes, and removes the chunk from memory.
void BatchController::drop(HeldChunk& chunk, std::string_view reason)
{
    for (const HeldItem& held : chunk.items()) {
        if (held.state == HeldItem::State::Running)
            m_executor.cancel(held.handle);
    }
    ++m_counters.lostChunks;
    record("chunk", reason, chunkId(chunk));
    removeHeld(chunk);
}

void BatchController::removeHeld(const HeldChunk& chunk)
{
    std::erase_if(m_chunks, [&](const auto& held) { return held.get() == &chunk; });
    m_chunkCount = static_cast<uint32_t>(m_chunks.size());
}

void BatchController::pollForWork(MonotonicTime now)
{
    if (m_chunks.size() >= m_options.maxClaimedChunks)
        return;
    const bool wasRunningLow = std::exchange(m_isRunningLow, m_chunks.empty() || isRunningLow());
    if (m_isRunningLow && !wasRunningLow) {
        m_pollInterval = m_options.minPollInterval;
        m_nextPoll = now;
    }
    if (now < m_nextPoll)
        return;
    // Set before the calls to the store, so that a failed poll is not repeated immediately.
    m_nextPoll = now + m_pollInterval;
    m_planner.refresh();
    bool hasClaimed = false;
    while (m_chunks.size() < m_options.maxClaimedChunks && claimNext())
        hasClaimed = true;
    m_pollInterval = hasClaimed ? m_options.minPollInterval : std::min(m_options.maxPollInterval, m_pollInterval * 2);
    // The jitter prevents idle nodes from polling at the same time.
    m_nextPoll
        = now + std::chrono::duration_cast<MonotonicTime::duration>(m_pollInterval * (0.75 + m_random.unit() / 2));
}

/// Claims one chunk. Returns false if there is none or after too many conflicts with other nodes.
bool BatchController::claimNext()
{
    const std::map<std::string, ItemCounts> held = itemCounts();
    std::map<std::string, bool> neededPaths;
    const auto hasCapacityFor = [&](const JobRecord& job) {
        return std::ranges::any_of(job.paths, [&](const std::string& path) {
            const auto [it, isNew] = neededPaths.try_emplace(path, false);
            if (isNew) {
                const auto counts = held.find(path);
                it->second = needsItems(path, counts == held.end() ? ItemCounts {} : counts->second);
            }
            return it->second;
        });
    };
    for (int conflicts = 0; conflicts < maxClaimConflicts;) {
        // A node holds at most one suspect chunk, so that a loss that it causes is not attributed to other suspect
        // chunks.
        const bool holdsSuspect = std::ranges::any_of(m_chunks, [](const auto& chunk) { return chunk->isSuspect(); });
        const auto isWanted = [&](const ChunkRecord& chunk) { return !holdsSuspect || !chunk.isSuspect(); };
        const auto candidate = m_planner.next(hasCapacityFor, isWanted,
            [this](const std::string& jobId, uint32_t first) { return isHeld(jobId, first); });
        if (!candidate)
            return false;
        if (hasTooManyLostClaims(candidate->chunk.record) && candidate->chunk.record.count > 1) {
            const auto result = m_store.splitChunk(*candidate->job, candidate->chunk, m_random.identifier());
            m_counters.splits += result.kind == WriteResult::Kind::Applied;
            m_planner.invalidateScan(*candidate);
            ++conflicts;
            continue;
        }
        if (claim(*candidate))
            return true;
        ++conflicts;
    }
    return false;
}

bool BatchController::claim(const ClaimPlanner::Candidate& candidate)
{
    const MonotonicTime start = m_clock.now();
    ChunkRecord record = candidate.chunk.record;
    record.state = ChunkRecord::State::Claimed;
    // A claim by this node whose response was lost has already been counted.
    record.lostClaims += record.holder != m_holder;
    record.holder = m_holder;
    ++record.epoch;
    record.expires = m_clock.wallNow() + m_options.lease;
    record.writeToken = m_random.identifier();
    const WriteResult result = m_store.writeChunk(*candidate.job, record, candidate.chunk.version);
    switch (result.kind) {
    case WriteResult::Kind::JobEnded:
        m_planner.removeJob(candidate.job->record.id);
        return false;
    case WriteResult::Kind::ChunkChanged:
        ++m_counters.claimConflicts;
        m_planner.recordConflict(candidate);
        return false;
    case WriteResult::Kind::Applied:
        break;
    }
    ++m_counters.claims;
    m_planner.recordClaim(candidate);
    m_chunks.push_back(
        std::make_unique<HeldChunk>(++m_lastSerial, candidate.job, StoredChunk { std::move(record), result.version },
            candidate.chunk.record.isSuspect(), start, start + m_options.lease));
    m_chunkCount = static_cast<uint32_t>(m_chunks.size());
    const ChunkRecord& held = m_chunks.back()->stored().record;
    this->record("chunk", "claimed", chunkId(*m_chunks.back()),
        { { "epoch", static_cast<qint64>(held.epoch) }, { "items", static_cast<qint64>(held.count) } });
    return true;
}

/// Returns whether the chunk probably contains an item that crashes its holder, so that the chunk is split or, if it
/// has a single item, the item ends as failed.
bool BatchController::hasTooManyLostClaims(const ChunkRecord& chunk) const
{
    if (chunk.count == 1)
        return chunk.lostClaims >= m_options.maxItemAttempts;
    return chunk.lostClaims >= (chunk.isSplit ? 1 : m_options.maxLostClaims);
}

/// Returns the number of items in held chunks by path. The items of a chunk that is not loaded yet are counted as
/// waiting for each path of its job.
std::map<std::string, BatchController::ItemCounts> BatchController::itemCounts() const
{
    std::map<std::string, ItemCounts> result;
    for (const auto& chunk : m_chunks) {
        if (!chunk->isLoaded()) {
            for (const std::string& path : chunk->job().record.paths)
                result[path].waiting += chunk->stored().record.count;
        }
        for (const HeldItem& held : chunk->items()) {
            ItemCounts& counts = result[held.item.path];
            counts.waiting += held.state == HeldItem::State::Waiting;
            counts.running += held.state == HeldItem::State::Running;
        }
    }
    return result;
}

/// Returns whether fewer items are waiting than could start within about the duration of one item: as many as there is
/// free capacity for, and one for each running item. Without this reserve, endpoints would be idle while the next chunk
/// is claimed.
bool BatchController::needsItems(const std::string& path, const ItemCounts& counts) const
{
    return counts.waiting < m_executor.freeCapacity(path) + counts.running;
}

/// Returns whether the held chunks have too few items for some path, so that the next poll for work must not be
/// delayed.
bool BatchController::isRunningLow() const
{
    return std::ranges::any_of(
        itemCounts(), [this](const auto& entry) { return needsItems(entry.first, entry.second); });
}

bool BatchController::isHeld(const std::string& jobId, uint32_t first) const
{
    return std::ranges::any_of(m_chunks,
        [&](const auto& chunk) { return chunk->stored().record.first == first && chunk->job().record.id == jobId; });
}

void BatchController::loadChunks()
{
    for (size_t n = m_chunks.size(); n-- > 0;) {
        HeldChunk& chunk = *m_chunks[n];
        if (chunk.isLoaded() || chunk.pendingCommit())
            continue;
        try {
            load(chunk);
        } catch (const Error& error) {
            // An unreadable input must not prevent the other chunks from being loaded.
            if (error.kind() != ErrorKind::Internal && error.kind() != ErrorKind::MalformedRequest)
                throw;
            m_planner.postponeJob(chunk.job().record.id);
            drop(chunk, "unreadable");
        }
    }
}

void BatchController::load(HeldChunk& chunk)
{
    const ChunkRecord& record = chunk.stored().record;
    const JobRecord& job = chunk.job().record;
    const std::string input = m_store.inputLines(job, record.first);
    std::map<uint32_t, std::string> intents;
    if (job.unrepeatable)
        intents = m_store.intents(job.id, record.first, record.count);
    chunk.load(input);
    for (const auto& [index, token] : intents) {
        HeldItem* held = chunk.findItem(index);
        if (!held)
            continue;
        held->hasIntent = true;
        endItem(*held,
            SegmentFile::errorResult(ErrorKind::MayHaveRun, "the node that was to run the item was lost meanwhile"));
    }
    // The current claim is counted as lost until it ends.
    if (record.count == 1 && record.lostClaims > m_options.maxItemAttempts) {
        for (HeldItem& held : chunk.items()) {
            if (held.state != HeldItem::State::Ended) {
                endItem(held,
                    SegmentFile::errorResult(ErrorKind::EndpointFailed,
                        "the item was given up after " + std::to_string(record.lostClaims - 1) + " lost attempts"));
            }
        }
    }
}

void BatchController::dispatch(MonotonicTime now)
{
    if (m_isReleasing)
        return;
    std::vector<HeldChunk*> ordered;
    for (const auto& chunk : m_chunks) {
        if (mayDispatch(*chunk))
            ordered.push_back(chunk.get());
    }
    std::ranges::stable_sort(ordered, {}, [](const HeldChunk* chunk) { return chunk->job().record.deadline; });
    for (HeldChunk* chunk : ordered) {
        if (chunk->job().record.unrepeatable)
            runStoreStep([&] { writeIntents(*chunk, now); });
    }
    std::map<std::string, uint32_t> capacities;
    for (HeldChunk* chunk : ordered) {
        if (std::ranges::find(m_chunks, chunk, &std::unique_ptr<HeldChunk>::get) == m_chunks.end())
            continue;
        for (HeldItem& held : chunk->items()) {
            const bool isAllowed = !held.item.unrepeatable || held.hasIntent;
            if (held.state != HeldItem::State::Waiting || held.notBefore > now || !isAllowed)
                continue;
            const auto [capacity, isNew] = capacities.try_emplace(held.item.path, 0);
            if (isNew)
                capacity->second = m_executor.freeCapacity(held.item.path);
            if (capacity->second == 0 || (held.attempts > 0 && !mayRetry(held)))
                continue;
            --capacity->second;
            start(*chunk, held);
        }
    }
}

/// Returns whether items of the chunk may start. After its lease has expired, the chunk may have another holder;
/// repeatable items then continue only while the store is unavailable.
bool BatchController::mayDispatch(const HeldChunk& chunk) const
{
    if (!chunk.isLoaded() || chunk.pendingCommit())
        return false;
    const MonotonicTime now = m_clock.now();
    return now < chunk.leaseEnd() || (!chunk.job().record.unrepeatable && now < m_storeRetryAt);
}

/// Returns whether an item that failed before may be retried. An item that crashes its worker makes concurrent items
/// fail as well, so the last attempt of an item is not run concurrently with other retries.
bool BatchController::mayRetry(const HeldItem& item) const
{
    bool isAnyRunning = false;
    bool isLastRunning = false;
    for (const auto& chunk : m_chunks) {
        for (const HeldItem& held : chunk->items()) {
            const bool isRetry = held.state == HeldItem::State::Running && held.attempts > 0;
            isAnyRunning |= isRetry;
            isLastRunning |= isRetry && held.attempts + 1 >= m_options.maxItemAttempts;
        }
    }
    const bool isLast = item.attempts + 1 >= m_options.maxItemAttempts;
    return isLast ? !isAnyRunning : !isLastRunning;
}

/// Writes intent records for a group of items if free capacity exceeds the number of waiting items that have one.
void BatchController::writeIntents(HeldChunk& chunk, MonotonicTime now)
{
    resolveIntents(chunk);
    std::map<std::string, uint32_t> capacities;
    std::vector<HeldItem*> group;
    bool isNeeded = false;
    for (HeldItem& held : chunk.items()) {
        if (held.state != HeldItem::State::Waiting || held.notBefore > now)
            continue;
        const auto [capacity, isNew] = capacities.try_emplace(held.item.path, 0);
        if (isNew)
            capacity->second = m_executor.freeCapacity(held.item.path);
        const bool fits = capacity->second > 0;
        capacity->second -= fits;
        if (held.hasIntent)
            continue;
        isNeeded |= fits;
        if (fits || group.size() < m_options.minIntentGroupSize)
            group.push_back(&held);
    }
    if (!isNeeded)
        return;
    std::vector<uint32_t> indices;
    for (const HeldItem* held : group)
        indices.push_back(held->item.index);
    const ChunkRecord& record = chunk.stored().record;
    try {
        const bool isWritten = m_store.insertIntents(
            chunk.job().record.id, record.first, chunk.stored().version, indices, claimToken(chunk));
        if (!isWritten) {
            if (refreshHeld(chunk)) {
                for (HeldItem* held : group)
                    held->isIntentUncertain = true;
            }
            return;
        }
    } catch (const Error& error) {
        if (error.kind() == ErrorKind::OutcomeUnknown) {
            for (HeldItem* held : group)
                held->isIntentUncertain = true;
        }
        throw;
    }
    for (HeldItem* held : group)
        held->hasIntent = true;
}

/// Reads back the intent records whose write had an unknown outcome.
void BatchController::resolveIntents(HeldChunk& chunk)
{
    const auto isUncertain = [](const HeldItem& held) { return held.isIntentUncertain; };
    if (std::ranges::none_of(chunk.items(), isUncertain))
        return;
    const ChunkRecord& record = chunk.stored().record;
    const auto intents = m_store.intents(chunk.job().record.id, record.first, record.count);
    for (HeldItem& held : chunk.items()) {
        if (!held.isIntentUncertain)
            continue;
        const auto it = intents.find(held.item.index);
        held.hasIntent = it != intents.end() && it->second == claimToken(chunk);
        held.isIntentUncertain = false;
    }
}

void BatchController::start(HeldChunk& chunk, HeldItem& held)
{
    held.state = HeldItem::State::Running;
    ++m_counters.itemsStarted;
    held.handle = m_executor.execute(
        held.item, [inbox = m_inbox, serial = chunk.serial(), index = held.item.index](const ItemOutcome& outcome) {
            inbox->push({ serial, index, outcome });
        });
}

bool BatchController::isIdleTooLong(HeldChunk& chunk) const
{
    if (!chunk.isLoaded() || chunk.hasRunningItems()) {
        chunk.setIdleSince(m_clock.now());
        return false;
    }
    return m_clock.now() - chunk.idleSince() >= m_options.maxIdleTime;
}

void BatchController::commitChunks()
{
    std::vector<HeldChunk*> held;
    for (const auto& chunk : m_chunks)
        held.push_back(chunk.get());
    for (HeldChunk* chunk : held) {
        const bool isReady = chunk->isEnded() || isIdleTooLong(*chunk) || (m_isReleasing && !chunk->hasRunningItems());
        if (!chunk->pendingCommit() && !isReady)
            continue;
        if (!chunk->pendingCommit())
            chunk->prepareCommit(m_random.identifier());
        commit(*chunk);
    }
}

void BatchController::commit(HeldChunk& chunk)
{
    // A holder that was paused until after the end of its lease checks first whether it still holds the chunk.
    if (m_clock.now() >= chunk.leaseEnd() && !refreshHeld(chunk))
        return;
    ChunkCommit& commit = *chunk.pendingCommit();
    if (!commit.isObjectStored) {
        try {
            m_store.putObject(commit.objectName, commit.objectContent);
        } catch (const Error& error) {
            // The name contains the epoch, so different content under it means that this claim has been lost.
            if (error.kind() != ErrorKind::Conflict)
                throw;
            drop(chunk, "lost");
            return;
        }
        commit.isObjectStored = true;
    }
    const WriteResult result
        = m_store.writeChunk(chunk.job(), commit.record, chunk.stored().version, commit.intentsToRemove);
    switch (result.kind) {
    case WriteResult::Kind::Applied:
        finishCommit(chunk);
        return;
    case WriteResult::Kind::ChunkChanged:
        refreshHeld(chunk);
        return;
    case WriteResult::Kind::JobEnded:
        m_planner.removeJob(chunk.job().record.id);
        drop(chunk, "job_ended");
        return;
    }
}

void BatchController::finishCommit(HeldChunk& chunk)
{
    const StoredJob job = chunk.job();
    const ChunkRecord record = chunk.pendingCommit()->record;
    const MonotonicTime::duration duration = m_clock.now() - chunk.claimedAt();
    const bool isDone = record.state == ChunkRecord::State::Done;
    ++(isDone ? m_counters.commits : m_counters.releases);
    this->record("chunk", isDone ? "committed" : "handed_back", chunkId(chunk),
        { { "epoch", static_cast<qint64>(record.epoch) } });
    removeHeld(chunk);
    if (isDone)
        m_planner.recordCommit(job, record, duration);
}

void BatchController::cancelRepeatableItems()
{
    if (std::exchange(m_hasCancelledItems, true))
        return;
    for (const auto& chunk : m_chunks) {
        if (chunk->job().record.unrepeatable)
            continue;
        for (const HeldItem& held : chunk->items()) {
            if (held.state == HeldItem::State::Running)
                m_executor.cancel(held.handle);
        }
    }
}

std::string BatchController::claimToken(const HeldChunk& chunk) const
{
    return m_holder + '/' + std::to_string(chunk.stored().record.epoch);
}

void BatchController::record(
    std::string_view subject, std::string_view action, std::string_view id, const QJsonObject& details)
{
    if (m_eventSink)
        m_eventSink(subject, action, id, details);
}

}
