#include <LibGateway/OwnedJob.h>

#include <algorithm>
#include <set>
#include <utility>

namespace Chicorydock {

namespace {

    /// Results that arrive within this time are committed together.
    constexpr Milliseconds commitDelay { 40 };
    constexpr Milliseconds commitRetryDelay { 200 };

    /// How often the partial output of the items is stored. Without it, the next owner of a failed node's jobs would
    /// have to run their items from the start.
    constexpr Milliseconds checkpointInterval { 1'200 };

    /// A transaction holds at most 100 entries and 1 MB.
    constexpr qsizetype maxCommitBytes = 400'000;
    constexpr size_t maxCommitResults = 20;

    /// Converts a time of the store's clock to this node's clock.
    MonotonicTime localTime(
        const GatewayEnvironment& environment, std::optional<Milliseconds> storeNow, Milliseconds storeTime)
    {
        const MonotonicTime now = environment.clock.now();
        return now + (storeTime - storeNow.value_or(storeTime));
    }

}

OwnedJob::OwnedJob(GatewayEnvironment& environment, std::optional<Milliseconds> storeTime, JobHead record,
    JobContent content, Owner owner)
    : m_environment(environment)
    , m_record(std::move(record))
    , m_owner(std::move(owner))
    , m_nextPosition(content.results.size())
    , m_nextProgress(content.nextProgress)
{
    const MonotonicTime submittedAt = localTime(environment, storeTime, m_record.submittedAt);
    const GatewayRoute* route = environment.configuration->findJobRoute(m_record.route, m_record.host);
    m_job = { m_record.id, m_record.route, m_record.host,
        submittedAt + (route ? route->completionTarget : Milliseconds { 0 }),
        submittedAt + (route && route->maxWait.count() > 0 ? route->maxWait : std::chrono::hours { 24 }),
        m_record.workspace };
    m_commitTimer.setSingleShot(true);
    QObject::connect(&m_commitTimer, &QTimer::timeout, &m_commitTimer, [this] { commit(); });
    QObject::connect(&m_checkpointTimer, &QTimer::timeout, &m_checkpointTimer, [this] { checkpoint(); });
    addItems(content);
}

OwnedJob::~OwnedJob() { *m_lifetime = false; }

void OwnedJob::addItems(JobContent& content)
{
    std::set<std::string> done;
    for (const JobResult& it : content.results)
        done.insert(it.itemId);
    for (JobItem& it : content.items) {
        if (done.contains(it.id))
            continue;
        m_runs.push_back(std::make_unique<ItemRun>(
            m_environment, m_job, std::move(it), [this](JobResult result) { handleResult(std::move(result)); }));
        const auto progress = std::ranges::find(content.progress, m_runs.back()->item().id, &ItemProgress::itemId);
        if (progress != content.progress.end())
            m_runs.back()->resume(*progress);
    }
}

void OwnedJob::start()
{
    for (const auto& it : m_runs)
        it->start();
    m_checkpointTimer.start(checkpointInterval);
    // All items have results, and only the commit that marks the job as done is missing.
    if (m_runs.empty())
        m_commitTimer.start(commitDelay);
}

std::vector<RowWrite> OwnedJob::collectProgressRows()
{
    std::vector<ItemProgress> parts;
    qsizetype bytes = 0;
    for (const auto& it : m_runs) {
        if (bytes > maxCommitBytes)
            break;
        auto part = it->collectProgress();
        if (!part)
            continue;
        bytes += part->output.size();
        parts.push_back(std::move(*part));
    }
    if (parts.empty())
        return {};
    return JobRows::split(JobRows::progress(m_record.id, m_nextProgress++), encodeJobProgress(parts));
}

void OwnedJob::checkpoint()
{
    // Checkpoints must be stored in order, so a new one waits until the previous one is in the store.
    if (m_hasEnded || !m_checkpoint.writes.empty())
        return;
    m_checkpoint.writes = collectProgressRows();
    if (m_checkpoint.writes.empty())
        return;
    m_checkpoint.conditions = { { JobRows::record(m_record.id), m_record.version } };
    commitCheckpoint();
}

void OwnedJob::commitCheckpoint()
{
    m_owner.commit(m_checkpoint, [this, lifetime = m_lifetime](const StoreResult<RowCommit>& result) {
        if (!*lifetime || m_hasEnded)
            return;
        const auto* commit = std::get_if<RowCommit>(&result);
        if (!commit) {
            // Repeating the write is idempotent: it has the same rows and the same content.
            QTimer::singleShot(commitRetryDelay, &m_checkpointTimer, [this] {
                if (!m_hasEnded)
                    commitCheckpoint();
            });
            return;
        }
        m_checkpoint = {};
        if (!commit->isCommitted)
            handleCheckpointConflict(*commit);
    });
}

void OwnedJob::handleCheckpointConflict(const RowCommit& commit)
{
    const auto current = commit.current.empty() ? std::nullopt : decodeJobHead(commit.current.front());
    // The job may be done by a commit of this node whose reply was lost. The next commit detects that.
    const bool mayBeOwnCommit = current && current->state == JobHead::State::Done && current->owner == m_record.owner;
    if (!mayBeOwnCommit)
        handleLoss();
}

RowTransaction OwnedJob::release()
{
    JobHead released = m_record;
    released.owner.clear();
    RowTransaction transaction { { { JobRows::record(m_record.id), m_record.version } }, collectProgressRows(), {} };
    transaction.writes.push_back({ JobRows::record(m_record.id), encodeJobHead(released) });
    stop();
    return transaction;
}

const JobItem* OwnedJob::findItem(const std::string& id) const
{
    const auto it = std::ranges::find_if(m_runs, [&](const auto& run) { return run->item().id == id; });
    return it == m_runs.end() ? nullptr : &(*it)->item();
}

void OwnedJob::stop()
{
    for (const auto& it : m_runs)
        it->stop();
    m_commitTimer.stop();
    m_checkpointTimer.stop();
    m_hasEnded = true;
}

void OwnedJob::update()
{
    if (m_hasEnded)
        return;
    for (const auto& it : m_runs)
        it->update();
}

void OwnedJob::setSuspended(bool isSuspended)
{
    if (m_hasEnded || std::exchange(m_isSuspended, isSuspended) == isSuspended)
        return;
    for (const auto& it : m_runs) {
        if (it->isDone())
            continue;
        if (isSuspended)
            it->suspend();
        else
            it->start();
    }
}

uint64_t OwnedJob::waitingTokens() const
{
    uint64_t sum = 0;
    for (const auto& it : m_runs) {
        if (!it->isDone())
            sum += it->item().tokens;
    }
    return sum;
}

void OwnedJob::handleResult(JobResult result)
{
    m_pendingResults.push_back(std::move(result));
    if (m_committing.empty() && !m_commitTimer.isActive())
        m_commitTimer.start(commitDelay);
}

void OwnedJob::commit()
{
    if (m_hasEnded)
        return;
    if (m_committing.empty()) {
        qsizetype bytes = 0;
        while (!m_pendingResults.empty() && m_committing.size() < maxCommitResults && bytes < maxCommitBytes) {
            bytes += m_pendingResults.front().output.size();
            m_committing.push_back(std::move(m_pendingResults.front()));
            m_pendingResults.erase(m_pendingResults.begin());
        }
        m_transaction = transaction(m_committing);
    }
    m_owner.commit(m_transaction, [this, lifetime = m_lifetime](const StoreResult<RowCommit>& result) {
        if (*lifetime && !m_hasEnded)
            handleCommit(result);
    });
}

RowTransaction OwnedJob::transaction(const std::vector<JobResult>& results) const
{
    RowTransaction transaction;
    transaction.conditions.push_back({ JobRows::record(m_record.id), m_record.version });
    size_t position = m_nextPosition;
    for (const JobResult& it : results) {
        const RowAddress address = JobRows::result(m_record.id, position++);
        transaction.conditions.push_back({ address, 0 });
        for (RowWrite& row : JobRows::split(address, encodeJobResult(it)))
            transaction.writes.push_back(std::move(row));
    }
    if (position >= m_record.itemCount) {
        JobHead done = m_record;
        done.state = JobHead::State::Done;
        transaction.writes.push_back({ JobRows::record(m_record.id), encodeJobHead(done) });
    }
    return transaction;
}

void OwnedJob::handleCommit(const StoreResult<RowCommit>& result)
{
    const auto* commit = std::get_if<RowCommit>(&result);
    if (!commit) {
        // The same transaction is sent again. If the first attempt was applied, the repeat conflicts because the
        // positions are no longer free.
        m_commitTimer.start(commitRetryDelay);
        return;
    }
    if (commit->isCommitted)
        handleResultsCommitted();
    else
        handleConflict(*commit);
}

void OwnedJob::handleConflict(const RowCommit& commit)
{
    if (isOwnCommit(commit.current)) {
        handleResultsCommitted();
        return;
    }
    handleLoss();
}

void OwnedJob::handleLoss()
{
    m_environment.log.record("job", "lost", m_record.id, {},
        { { "version", static_cast<qint64>(m_record.version) },
            { "reason", "another node owns the job, its caller cancelled it, or it was removed" } });
    finish(Outcome::Lost);
}

bool OwnedJob::isOwnCommit(const std::vector<StoredRow>& current) const
{
    if (m_committing.empty())
        return false;
    // The transaction is atomic, so if its first result is stored, all of it is.
    const RowWrite& first = m_transaction.writes.front();
    return std::ranges::any_of(
        current, [&](const StoredRow& it) { return it.address == first.row && it.value == first.value; });
}

void OwnedJob::handleResultsCommitted()
{
    m_nextPosition += m_committing.size();
    m_committing.clear();
    m_owner.onResultsCommitted();
    if (m_nextPosition >= m_record.itemCount)
        finish(Outcome::Done);
    else if (!m_pendingResults.empty())
        m_commitTimer.start(Milliseconds { 0 });
}

void OwnedJob::finish(Outcome outcome)
{
    stop();
    m_owner.onEnd(outcome);
}

}
