#include <LibGateway/JobController.h>

#include <LibRouting/Rendezvous.h>

#include <algorithm>
#include <utility>

namespace Chicorydock {

namespace {

    /// Up to this size, the items are stored as rows in one transaction with the record, and above it as an object.
    constexpr qsizetype maxInputRowBytes = 400'000;

    /// Wait before claiming jobs after a start or an outage of the store, until all live peers have reported that they
    /// can reach the store. Claiming a job too early discards the output its owner received since the last checkpoint.
    constexpr Milliseconds claimGracePeriod { 1'200 };

    /// A node that cannot reach the store for this long, while other nodes can, suspends its jobs. The other nodes
    /// claim them and would generate the same output again.
    constexpr Milliseconds suspendDelay { 700 };

    /// Nodes claim an orphaned job one after another in rendezvous order, so that usually only one tries.
    constexpr Milliseconds claimInterval { 500 };
    /// When many nodes are lost at once, the first ones in the order are probably among them. All nodes that rank lower
    /// than this try at the same time.
    constexpr size_t maxClaimRank = 12;

    constexpr int maxCancelRetries = 4;

    constexpr Milliseconds quotaRetryAfter { 1'000 };
    constexpr Milliseconds storeRetryAfter { 500 };

    Error writeError(const StoreFailure& failure)
    {
        if (failure.kind == StoreFailure::Kind::OutcomeUnknown)
            return { ErrorKind::MayHaveRun, failure.message };
        return { ErrorKind::PlatformUnavailable, failure.message, storeRetryAfter };
    }

    Error readError(const StoreFailure& failure)
    {
        return { ErrorKind::PlatformUnavailable, failure.message, storeRetryAfter };
    }

    /// Returns whether the job was accepted while the deployment had workspaces.
    bool isScoped(const JobHead& record)
    {
        const std::string callerId = record.id.substr(0, record.id.rfind(JobRows::scopeSeparator));
        return record.id == JobRows::scopedId(record.workspace, callerId);
    }

    const Error jobNotFound { ErrorKind::NotFound, "job not found" };
    const Error jobsNotListed { ErrorKind::NotReady, "the jobs have not been listed here yet", storeRetryAfter };

}

/// Wraps a reply so that it is ignored after the controller was destroyed.
template <typename Function> auto JobController::guarded(Function function)
{
    return [lifetime = m_lifetime, function = std::move(function)](auto&& result) mutable {
        if (*lifetime)
            function(std::forward<decltype(result)>(result));
    };
}

JobController::JobController(GatewayEnvironment& environment, RowStore& store, const JobPeers& peers, std::string node)
    : m_environment(environment)
    , m_store(store)
    , m_peers(peers)
    , m_node(std::move(node))
{
}

JobController::~JobController() { *m_lifetime = false; }

std::string JobController::findId(const std::optional<std::string>& workspace, const std::string& callerId) const
{
    const std::string id = workspace ? JobRows::scopedId(*workspace, callerId) : callerId;
    if (m_records.contains(id))
        return id;
    if (workspace) {
        const JobHead* record = m_records.find(callerId);
        return record && !isScoped(*record) ? callerId : id;
    }
    const std::string prefix = callerId + JobRows::scopeSeparator;
    const JobRecords::Records& all = m_records.all();
    for (auto it = all.lower_bound(prefix); it != all.end() && it->first.starts_with(prefix); ++it) {
        // Identifiers of callers may contain the separator themselves.
        if (it->first == JobRows::scopedId(it->second.workspace, callerId))
            return it->first;
    }
    return id;
}

JobHead JobController::makeRecord(const SubmittedJob& submission, const GatewayRoute& route)
{
    JobHead record;
    record.id = submission.jobId;
    record.route = route.name;
    record.itemCount = static_cast<uint32_t>(submission.items.size());
    record.workspace = submission.workspace.value_or("");
    for (const JobItem& it : submission.items)
        record.tokens += it.tokens;
    return record;
}

std::optional<Error> JobController::limitExceededBy(const SubmittedJob& submission, const GatewayRoute& route) const
{
    if (route.maxWaitingTokens == 0)
        return std::nullopt;
    const JobHead record = makeRecord(submission, route);
    if (waitingTokens(record, submission.workspace.has_value()) + record.tokens <= route.maxWaitingTokens)
        return std::nullopt;
    return Error(ErrorKind::Overloaded, "the route reached its limit of waiting tokens", quotaRetryAfter);
}

void JobController::submit(
    const SubmittedJob& submission, const GatewayRoute& route, const std::string& host, const Done& done)
{
    if (m_records.contains(submission.jobId)) {
        done({});
        return;
    }
    if (const auto error = limitExceededBy(submission, route)) {
        done(error);
        return;
    }
    JobHead record = makeRecord(submission, route);
    record.owner = m_isLeaving ? "" : m_node;
    record.host = host;
    if (!m_store.time()) {
        done(Error(
            ErrorKind::PlatformUnavailable, "the store has not replied since the start of this node", storeRetryAfter));
        return;
    }
    record.submittedAt = *m_store.time();
    m_submitting[record.id] = record;
    const QByteArray content = encodeJobItems(submission.items);
    if (content.size() <= maxInputRowBytes) {
        commitSubmission(record, content, submission.items, done);
        return;
    }
    // Submissions of one job have the same content, but another node may be storing a repeat at the same time, so each
    // object gets a unique name.
    record.inputObject = "job-" + record.id + "-" + m_environment.random.identifier();
    m_store.putObject(record.inputObject, content,
        guarded([this, record, items = submission.items, done](const StoreResult<bool>& result) {
            if (const auto* failure = std::get_if<StoreFailure>(&result)) {
                m_submitting.erase(record.id);
                // The record was not written, so the job does not exist and nothing of it runs.
                done(Error(ErrorKind::PlatformUnavailable, failure->message, storeRetryAfter));
                return;
            }
            commitSubmission(record, {}, items, done);
        }));
}

void JobController::commitSubmission(
    const JobHead& record, const QByteArray& content, const std::vector<JobItem>& items, const Done& done)
{
    RowTransaction transaction;
    transaction.conditions.push_back({ JobRows::record(record.id), 0 });
    transaction.writes.push_back({ JobRows::record(record.id), encodeJobHead(record) });
    if (record.inputObject.empty()) {
        for (RowWrite& it : JobRows::split(JobRows::input(record.id), content))
            transaction.writes.push_back(std::move(it));
    }
    // The feed may bring the record before the reply: the job is not an orphan.
    m_loading.insert(record.id);
    commit(transaction, [this, record, items, done](const StoreResult<RowCommit>& result) {
        m_loading.erase(record.id);
        m_submitting.erase(record.id);
        handleSubmission(record, items, done, result);
    });
}

void JobController::handleSubmission(
    const JobHead& record, const std::vector<JobItem>& items, const Done& done, const StoreResult<RowCommit>& result)
{
    const auto* commit = std::get_if<RowCommit>(&result);
    if (!commit) {
        const StoreFailure& failure = std::get<StoreFailure>(result);
        m_environment.log.record(
            "job", "not_accepted", record.id, {}, { { "reason", QString::fromStdString(failure.message) } });
        done(writeError(failure));
        return;
    }
    // A conflict means that an earlier submission of this job was accepted.
    if (commit->isCommitted) {
        JobHead accepted = record;
        accepted.version = commit->version;
        updateRecord(accepted);
        QJsonObject details { { "items", static_cast<qint64>(record.itemCount) },
            { "tokens", static_cast<qint64>(record.tokens) }, { "version", static_cast<qint64>(accepted.version) } };
        if (!record.workspace.empty())
            details["workspace"] = QString::fromStdString(record.workspace);
        m_environment.log.record("job", "accepted", record.id, {}, details);
        startJob(accepted, { items, {}, {}, 0 });
    }
    done({});
}

uint64_t JobController::waitingTokens(const JobHead& job, bool ofWorkspace) const
{
    const auto counts = [&](const JobHead& it) {
        return it.route == job.route && it.id != job.id && (!ofWorkspace || it.workspace == job.workspace);
    };
    uint64_t sum = 0;
    for (const auto& [id, record] : m_records.all()) {
        if (record.state != JobHead::State::Open || !counts(record))
            continue;
        const auto owned = m_owned.find(id);
        sum += owned == m_owned.end() ? record.tokens : owned->second->waitingTokens();
    }
    for (const auto& [id, record] : m_submitting) {
        if (!m_records.contains(id) && counts(record))
            sum += record.tokens;
    }
    return sum;
}

void JobController::updateRecord(const JobHead& record)
{
    if (!m_records.put(record))
        return;
    if (record.state != JobHead::State::Open || !isOrphan(record))
        m_orphanSince.erase(record.id);
    stopUnlessMayRun(record.id);
}

void JobController::removeRecord(const std::string& jobId, uint64_t version)
{
    if (!m_records.remove(jobId, version, m_environment.clock.now()))
        return;
    m_orphanSince.erase(jobId);
    stopUnlessMayRun(jobId);
}

void JobController::applyRow(const StoredRow& row)
{
    if (row.isRemoved)
        removeRecord(row.address.key, row.version);
    else if (const auto record = decodeJobHead(row))
        updateRecord(*record);
}

void JobController::commit(const RowTransaction& transaction, const RowStore::Reply<RowCommit>& onReply)
{
    m_store.commit(transaction, guarded([this, transaction, onReply](const StoreResult<RowCommit>& result) {
        // A job must learn that a conflict comes from its own commit before the record shows that it has ended.
        onReply(result);
        if (const auto* commit = std::get_if<RowCommit>(&result))
            applyReply(transaction, *commit);
    }));
}

void JobController::applyReply(const RowTransaction& transaction, const RowCommit& commit)
{
    if (commit.isCommitted) {
        for (const RowWrite& it : transaction.writes) {
            if (it.row.table == JobRows::recordTable)
                applyRow({ it.row, it.value, commit.version, false });
        }
        return;
    }
    for (const RowCondition& it : transaction.conditions) {
        if (it.row.table != JobRows::recordTable)
            continue;
        const auto row = std::ranges::find(commit.current, it.row, &StoredRow::address);
        if (row != commit.current.end())
            applyRow(*row);
        else if (it.version > 0)
            removeRecord(it.row.key, it.version);
    }
}

bool JobController::mayRun(const JobHead& record) const
{
    const JobHead* newest = m_records.find(record.id);
    return newest && newest->version == record.version && newest->state == JobHead::State::Open
        && newest->owner == m_node && !m_isLeaving;
}

void JobController::stopUnlessMayRun(const std::string& jobId)
{
    const auto it = m_owned.find(jobId);
    if (it != m_owned.end() && !mayRun(it->second->record()))
        removeOwnedJob(jobId);
}

void JobController::removeOwnedJob(const std::string& jobId)
{
    const auto it = m_owned.find(jobId);
    if (it == m_owned.end())
        return;
    it->second->stop();
    // The job may be the caller of this function, so it is destroyed later.
    QTimer::singleShot(0, this, [job = std::shared_ptr<OwnedJob>(std::move(it->second))] {});
    m_owned.erase(it);
}

void JobController::startJob(const JobHead& record, const JobContent& content)
{
    // The reply that leads here may be older than what the feed has brought meanwhile.
    if (!mayRun(record))
        return;
    const std::string id = record.id;
    OwnedJob::Owner owner;
    owner.commit = [this](const RowTransaction& transaction, const auto& onReply) { commit(transaction, onReply); };
    owner.onEnd = [this, id](OwnedJob::Outcome outcome) { handleJobEnd(id, outcome); };
    owner.onResultsCommitted = [this, id] {
        if (m_onResultsCommitted)
            m_onResultsCommitted(id);
    };
    auto job = std::make_unique<OwnedJob>(m_environment, m_store.time(), record, content, std::move(owner));
    OwnedJob& started = *job;
    m_owned[id] = std::move(job);
    started.start();
}

void JobController::handleJobEnd(const std::string& jobId, OwnedJob::Outcome outcome)
{
    if (outcome == OwnedJob::Outcome::Done)
        m_environment.log.record("job", "done", jobId);
    removeOwnedJob(jobId);
}

void JobController::onTableListed(const TableListing& listing)
{
    m_isListed = true;
    onRowsChanged(listing.rows);
}

void JobController::onRowsChanged(const std::vector<StoredRow>& rows)
{
    for (const StoredRow& it : rows)
        applyRow(it);
    tick();
}

void JobController::onReachableChanged(bool isReachable)
{
    if (isReachable != m_isStoreReachable)
        (isReachable ? m_reachableSince : m_unreachableSince) = m_environment.clock.now();
    m_isStoreReachable = isReachable;
}

bool JobController::isOrphan(const JobHead& record) const
{
    if (record.owner == m_node)
        return !m_owned.contains(record.id);
    return record.owner.empty() || !m_peers.canRunJobs(record.owner);
}

Milliseconds JobController::claimDelay(const std::string& jobId, const std::vector<std::string>& peers) const
{
    return claimInterval * std::min(rendezvousRank(jobId, m_node, peers), maxClaimRank);
}

void JobController::tick()
{
    const MonotonicTime now = m_environment.clock.now();
    m_records.forgetOldRemovals(now);
    updateSuspension(now);
    for (const auto& [id, job] : m_owned)
        job->update();
    if (m_isLeaving || !m_isStoreReachable || now < m_reachableSince + claimGracePeriod)
        return;
    // A peer that reaches the endpoints claims the jobs.
    if (hasLostEndpoints() && !m_peers.nodesForJobs().empty())
        return;
    std::optional<std::vector<std::string>> peers;
    for (const auto& [id, record] : m_records.all()) {
        if (record.state != JobHead::State::Open || m_loading.contains(id) || m_owned.contains(id))
            continue;
        if (!isOrphan(record)) {
            m_orphanSince.erase(id);
            continue;
        }
        const MonotonicTime since = m_orphanSince.try_emplace(id, now).first->second;
        if (!peers)
            peers = m_peers.nodesForJobs();
        if (now - since >= claimDelay(id, *peers))
            claim(record);
    }
}

bool JobController::hasLostEndpoints() const { return m_environment.links.lostFor() >= jobEndpointLossTolerance; }

void JobController::updateSuspension(MonotonicTime now)
{
    const bool isLost = !m_isStoreReachable && now >= m_unreachableSince + suspendDelay;
    // While no node can reach the store, nobody claims the jobs; they keep running and commit their results later.
    const bool isSuspended = (isLost || hasLostEndpoints()) && !m_peers.nodesForJobs().empty();
    for (const auto& [id, job] : m_owned)
        job->setSuspended(isSuspended);
}

void JobController::claim(const JobHead& record)
{
    JobHead claimed = record;
    claimed.owner = m_node;
    m_loading.insert(record.id);
    const RowTransaction transaction { { { JobRows::record(record.id), record.version } },
        { { JobRows::record(record.id), encodeJobHead(claimed) } }, {} };
    commit(transaction, [this, record, claimed](const StoreResult<RowCommit>& result) mutable {
        m_loading.erase(record.id);
        m_orphanSince.erase(record.id);
        const auto* commit = std::get_if<RowCommit>(&result);
        if (!commit || !commit->isCommitted)
            return;
        claimed.version = commit->version;
        m_environment.log.record("job", "claimed", record.id, {},
            { { "previous_owner", QString::fromStdString(record.owner) },
                { "version", static_cast<qint64>(claimed.version) } });
        updateRecord(claimed);
        load(claimed);
    });
}

void JobController::load(const JobHead& record)
{
    if (!mayRun(record))
        return;
    m_loading.insert(record.id);
    JobLoader::loadAll(m_store, record, guarded([this, record](const StoreResult<JobContent>& result) {
        m_loading.erase(record.id);
        // After a failed load the job is an orphan, since its record names this node as owner, and is claimed again.
        if (const auto* content = std::get_if<JobContent>(&result))
            startJob(record, *content);
    }));
}

void JobController::readResults(const std::string& jobId, size_t after, const Reply<JobResultPage>& reply)
{
    JobLoader::loadResults(
        m_store, jobId, after, guarded([this, jobId, after, reply](StoreResult<std::vector<JobResult>> result) {
            if (const auto* failure = std::get_if<StoreFailure>(&result)) {
                reply(readError(*failure));
                return;
            }
            JobResultPage page;
            page.results = std::move(std::get<std::vector<JobResult>>(result));
            page.next = after + page.results.size();
            if (const JobHead* record = m_records.find(jobId)) {
                page.total = record->itemCount;
                reply(std::move(page));
                return;
            }
            readHead(jobId, [page, reply](const std::variant<JobHead, Error>& head) mutable {
                if (const auto* error = std::get_if<Error>(&head)) {
                    reply(*error);
                    return;
                }
                page.total = std::get<JobHead>(head).itemCount;
                reply(std::move(page));
            });
        }));
}

void JobController::readItem(const std::string& jobId, const std::string& itemId, const Reply<QByteArray>& reply)
{
    if (const auto it = m_owned.find(jobId); it != m_owned.end()) {
        if (const JobItem* item = it->second->findItem(itemId)) {
            reply(item->body);
            return;
        }
    }
    readHead(jobId, [this, itemId, reply](const std::variant<JobHead, Error>& head) {
        if (const auto* error = std::get_if<Error>(&head)) {
            reply(*error);
            return;
        }
        JobLoader::loadItems(
            m_store, std::get<JobHead>(head), guarded([itemId, reply](const StoreResult<std::vector<JobItem>>& result) {
                const auto* items = std::get_if<std::vector<JobItem>>(&result);
                if (!items) {
                    reply(readError(std::get<StoreFailure>(result)));
                    return;
                }
                const auto item = std::ranges::find(*items, itemId, &JobItem::id);
                if (item == items->end())
                    reply(Error(ErrorKind::NotFound, "the job has no item with this identifier"));
                else
                    reply(item->body);
            }));
    });
}

void JobController::readHead(const std::string& jobId, const Reply<JobHead>& reply)
{
    const RowAddress address = JobRows::record(jobId);
    m_store.read({ address.table, address.partition, jobId, jobId + '\0' },
        guarded([this, jobId, reply](const StoreResult<RowPage>& rows) {
            const auto* found = std::get_if<RowPage>(&rows);
            if (!found) {
                reply(readError(std::get<StoreFailure>(rows)));
                return;
            }
            for (const StoredRow& it : found->rows)
                applyRow(it);
            // The feed may have brought the record, or its removal, since the store read it.
            if (const JobHead* newest = m_records.find(jobId))
                reply(*newest);
            else
                // The job may have been accepted under another identifier, see `findId()`.
                reply(m_isListed ? jobNotFound : jobsNotListed);
        }));
}

void JobController::cancel(const std::string& jobId, const Done& done)
{
    if (const JobHead* record = m_records.find(jobId)) {
        cancelRecord(*record, maxCancelRetries, done);
        return;
    }
    readHead(jobId, [this, done](const std::variant<JobHead, Error>& head) {
        if (const auto* error = std::get_if<Error>(&head))
            done(*error);
        else
            cancelRecord(std::get<JobHead>(head), maxCancelRetries, done);
    });
}

void JobController::cancelRecord(JobHead record, int retriesLeft, const Done& done)
{
    if (record.state != JobHead::State::Open) {
        updateRecord(record);
        done({});
        return;
    }
    JobHead cancelled = record;
    cancelled.state = JobHead::State::Cancelled;
    const RowTransaction transaction { { { JobRows::record(record.id), record.version } },
        { { JobRows::record(record.id), encodeJobHead(cancelled) } }, {} };
    commit(transaction, [this, cancelled, retriesLeft, done](const StoreResult<RowCommit>& result) mutable {
        const auto* commit = std::get_if<RowCommit>(&result);
        if (!commit) {
            done(writeError(std::get<StoreFailure>(result)));
            return;
        }
        if (commit->isCommitted) {
            cancelled.version = commit->version;
            m_environment.log.record("job", "ended", cancelled.id);
            updateRecord(cancelled);
            done({});
            return;
        }
        const auto current = commit->current.empty() ? std::nullopt : decodeJobHead(commit->current.front());
        if (!current)
            done(jobNotFound);
        else if (retriesLeft > 0)
            cancelRecord(*current, retriesLeft - 1, done);
        else
            done(Error(
                ErrorKind::PlatformUnavailable, "the job changed during each attempt to cancel it", storeRetryAfter));
    });
}

void JobController::release()
{
    m_isLeaving = true;
    std::vector<std::string> ids;
    for (const auto& [id, job] : m_owned) {
        ids.push_back(id);
        releaseJob(*job);
    }
    for (const std::string& it : ids)
        removeOwnedJob(it);
}

void JobController::releaseJob(OwnedJob& job)
{
    ++m_pendingReleases;
    commit(job.release(), [this, id = job.record().id](const StoreResult<RowCommit>& result) {
        --m_pendingReleases;
        const auto* commit = std::get_if<RowCommit>(&result);
        m_environment.log.record("job", "released", id, {}, { { "committed", commit && commit->isCommitted } });
    });
}

size_t JobController::openJobs() const
{
    return static_cast<size_t>(
        std::ranges::count_if(m_records.all(), [](const auto& it) { return it.second.state == JobHead::State::Open; }));
}

}
