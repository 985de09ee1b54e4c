#include "JobWorld.h"

#include <algorithm>

namespace Chicorydock {

namespace {

    constexpr Milliseconds step { 10 };
    constexpr Milliseconds storeTimeout { 700 };
    constexpr size_t eventsPerItem { 6 };

    QByteArray eventText(const std::string& item, size_t event)
    {
        return QByteArray::fromStdString(item + ':' + std::to_string(event));
    }

    QByteArray expectedOutput(const std::string& item)
    {
        QByteArray output;
        for (size_t n = 1; n <= eventsPerItem; ++n)
            output += (n > 1 ? "\n" : "") + eventText(item, n);
        return output;
    }

    std::string nodeName(size_t n) { return "n" + std::to_string(n); }

}

/// The connection of one process to the store. A process that has ended gets no replies.
class JobWorld::NodeStore final : public RowStore {
public:
    NodeStore(JobWorld& world, size_t node)
        : m_link { world, static_cast<int>(node), world.m_incarnations[node] }
    {
    }

    void read(const RowRange& range, Reply<RowPage> reply) override
    {
        m_link.world.schedule(m_link.delay(), {}, [link = m_link, range, reply] {
            if (link.world.chance(0.1))
                link.fail(reply, StoreFailure::Kind::NotExecuted);
            else
                link.answer(reply, RowPage { link.world.m_table.rowsIn(range), false, 0 });
        });
    }

    void commit(const RowTransaction& transaction, Reply<RowCommit> reply) override
    {
        JobWorld& world = m_link.world;
        if (world.chance(0.05))
            m_link.fail(reply, StoreFailure::Kind::NotExecuted);
        else if (world.chance(0.2))
            commitWithoutAnswer(transaction, reply);
        else
            world.schedule(m_link.delay(), {},
                [link = m_link, transaction, reply] { link.answer(reply, link.world.m_table.apply(transaction)); });
    }

    std::optional<Milliseconds> time() const override
    {
        return std::chrono::duration_cast<Milliseconds>(m_link.world.m_clock.now().time_since_epoch());
    }

    // The simulation delivers changes to the nodes itself, and the items of its jobs fit rows.
    void changes(const std::string&, uint64_t, Milliseconds, Reply<RowPage>) override { }
    void putObject(const std::string&, const QByteArray&, Reply<bool>) override { }
    void getObject(const std::string&, Reply<QByteArray>) override { }

private:
    struct Link {
        JobWorld& world;
        int node { 0 };
        uint64_t incarnation { 0 };

        Milliseconds delay() const { return Milliseconds { 5 + world.m_random.below(world.m_isFaulty ? 120 : 10) }; }

        template <typename T> void answer(const Reply<T>& reply, T result) const
        {
            world.schedule(
                Milliseconds { 5 }, { node, incarnation }, [reply, result = std::move(result)] { reply(result); });
        }

        template <typename T> void fail(const Reply<T>& reply, StoreFailure::Kind kind) const
        {
            const Milliseconds wait = kind == StoreFailure::Kind::NotExecuted ? Milliseconds { 5 } : storeTimeout;
            world.schedule(wait, { node, incarnation }, [reply, kind] { reply(StoreFailure { kind, "simulated" }); });
        }
    };

    /// Fails the call as unknown and applies the write soon, much later or never.
    void commitWithoutAnswer(const RowTransaction& transaction, const Reply<RowCommit>& reply)
    {
        JobWorld& world = m_link.world;
        m_link.fail(reply, StoreFailure::Kind::OutcomeUnknown);
        ++world.m_counts.lostAnswers;
        if (world.chance(0.3))
            return;
        const bool isLate = world.chance(0.6);
        world.m_counts.lateWrites += isLate ? 1 : 0;
        const Milliseconds wait = isLate ? Milliseconds { world.m_random.below(6'000) } : m_link.delay();
        world.schedule(wait, {}, [&world, transaction] { world.m_table.apply(transaction); });
    }

    const Link m_link;
};

struct JobWorld::Node : GatewayFixture {
    NodeStore store;
    /// The node's possibly wrong view of the other nodes.
    FakeJobPeers peers;
    std::unique_ptr<JobController> jobs;
    size_t answeredCalls { 0 };
    /// Next event of each open call; calls before `answeredCalls` have ended.
    std::map<size_t, size_t> nextEvents;
    /// Lines of the log that have been checked.
    size_t checkedLines { 0 };

    Node(JobWorld& world, size_t n)
        : store(world, n)
        , jobs(std::make_unique<JobController>(environment, store, peers, nodeName(n)))
    {
        // A node that froze takes the silence of its endpoints for a loss, until it probes them.
        prober.isReachable = true;
    }
};

JobWorld::JobWorld(const Options& options, SimulatedEventLoop& loop)
    : m_options(options)
    , m_loop(loop)
    , m_random(options.seed)
    , m_table(m_clock)
    , m_nodes(options.nodes)
    , m_incarnations(options.nodes)
    , m_thawAt(options.nodes)
{
    for (size_t n = 0; n < options.jobs; ++n) {
        Caller caller;
        caller.job.jobId = "job" + std::to_string(n);
        for (size_t k = 0; k < options.itemsPerJob; ++k) {
            const std::string id = caller.job.jobId + "-" + std::to_string(k);
            caller.job.items.push_back({ id, "/b/x", {}, QByteArray::fromStdString(id), 10 });
        }
        m_callers.push_back(std::move(caller));
    }
    for (size_t n = 0; n < options.nodes; ++n)
        startNode(n);
}

JobWorld::~JobWorld() = default;

void JobWorld::startNode(size_t n)
{
    ++m_incarnations[n];
    m_loop.setOwner(static_cast<int>(n));
    m_nodes[n].reset();
    m_nodes[n] = std::make_unique<Node>(*this, n);
    m_nodes[n]->jobs->onReachableChanged(true);
}

void JobWorld::schedule(Milliseconds delay, Process process, std::function<void()> run)
{
    m_tasks.push_back({ m_clock.now() + delay, process, std::move(run) });
}

void JobWorld::runTasks()
{
    const auto isDue = [&](const Task& it) { return it.at <= m_clock.now() && !m_loop.isFrozen(it.process.node); };
    for (auto it = std::ranges::find_if(m_tasks, isDue); it != m_tasks.end();
         it = std::ranges::find_if(m_tasks, isDue)) {
        const Task task = std::move(*it);
        m_tasks.erase(it);
        const int node = task.process.node;
        if (node >= 0 && m_incarnations[static_cast<size_t>(node)] != task.process.incarnation)
            continue;
        m_loop.setOwner(node);
        task.run();
        QCoreApplication::sendPostedEvents();
    }
}

void JobWorld::run()
{
    const MonotonicTime end = m_clock.now() + m_options.faultTime + m_options.recoveryTime;
    const MonotonicTime faultsEnd = m_clock.now() + m_options.faultTime;
    while (m_clock.now() < end) {
        m_isFaulty = m_clock.now() < faultsEnd;
        m_clock.advance(step);
        for (size_t n = 0; n < m_nodes.size(); ++n) {
            // The steady clock of a frozen process does not advance.
            if (!m_loop.isFrozen(static_cast<int>(n)))
                m_nodes[n]->clock.advance(step);
        }
        m_loop.advance(step);
        runTasks();
        for (size_t n = 0; n < m_nodes.size(); ++n)
            stepNode(n);
        for (Caller& it : m_callers) {
            stepCaller(it);
            checkStore(it);
        }
    }
    checkFinalState();
    m_nodes.clear();
}

void JobWorld::stepNode(size_t n)
{
    injectFaults(n);
    const int owner = static_cast<int>(n);
    if (m_loop.isFrozen(owner)) {
        if (m_clock.now() >= m_thawAt[n] || !m_isFaulty)
            m_loop.thaw(owner);
        return;
    }
    m_loop.setOwner(owner);
    Node& node = *m_nodes[n];
    if (m_random.below(20) == 0) {
        for (size_t k = 0; k < m_nodes.size(); ++k) {
            // A node may consider a live node dead, and a frozen one alive.
            const bool isAlive = !m_loop.isFrozen(static_cast<int>(k)) != chance(0.15);
            if (isAlive && k != n)
                node.peers.alive.insert(nodeName(k));
            else
                node.peers.alive.erase(nodeName(k));
        }
    }
    if (m_random.below(30) == 0) {
        // A listing may be outdated when it arrives.
        const Milliseconds age { m_random.below(m_isFaulty ? 1'500 : 20) };
        schedule(age, { owner, m_incarnations[n] },
            [this, n, rows = jobHeadRows(m_table)] { m_nodes[n]->jobs->onTableListed({ rows }); });
    }
    if (m_random.below(25) == 0) {
        node.links.tick();
        node.jobs->tick();
    }
    QCoreApplication::sendPostedEvents();
    stepEndpoints(node);
    QCoreApplication::sendPostedEvents();
    checkResumptions(node);
}

void JobWorld::checkResumptions(Node& node)
{
    for (; node.checkedLines < node.log.events.size(); ++node.checkedLines) {
        const Event& line = node.log.events[node.checkedLines];
        if (line.action != "resumed")
            continue;
        ++m_counts.resumedRuns;
        const int last = line.details["last_event"].toInt();
        const int askedAfter = line.details["asked_after"].toInt();
        if (askedAfter != last)
            m_violations.push_back("seed " + std::to_string(m_options.seed) + ", " + line.id + ": went on after event "
                + std::to_string(last) + " with a run that was asked with " + std::to_string(askedAfter));
    }
}

void JobWorld::stepEndpoints(Node& node)
{
    for (size_t n = node.answeredCalls; n < node.http.count(); ++n) {
        FakeHttpClient::Call& call = node.http.call(n);
        if (call.isCancelled || m_random.below(40) != 0)
            continue;
        const std::string item = call.request.body.toStdString();
        const auto [it, isNew] = node.nextEvents.try_emplace(n, 0);
        if (isNew) {
            const auto last = call.request.headers.find("Last-Event-Id");
            it->second = (last ? last->toULongLong() : 0) + 1;
            // An endpoint may repeat the last event that the caller received.
            if (last && chance(0.3))
                --it->second;
            call.observer->onHandedOver();
            if (!call.isCancelled)
                call.observer->onHeaders(200, { { "Server-Signature", "s" } });
            // An endpoint that crashes may end its response in order without an event.
            if (!call.isCancelled && chance(0.15)) {
                call.isCancelled = true;
                call.observer->onFinished();
            }
            continue;
        }
        const size_t event = it->second++;
        if (event > eventsPerItem) {
            call.isCancelled = true;
            call.observer->onFinished();
        } else if (chance(0.1)) {
            call.isCancelled = true;
            call.observer->onFailed({ HttpFailure::Phase::Answering, HttpFailure::Reason::Closed, "simulated" });
        } else {
            call.observer->onData("id: " + QByteArray::number(static_cast<qulonglong>(event))
                + "\ndata: " + eventText(item, event) + "\n\n");
        }
    }
}

void JobWorld::injectFaults(size_t n)
{
    if (chance(0.001)) {
        ++m_counts.restarts;
        m_loop.thaw(static_cast<int>(n));
        startNode(n);
    } else if (!m_loop.isFrozen(static_cast<int>(n)) && chance(0.001)) {
        ++m_counts.freezes;
        m_loop.freeze(static_cast<int>(n));
        m_thawAt[n] = m_clock.now() + Milliseconds { 500 + m_random.below(5'000) };
    }
}

void JobWorld::stepCaller(Caller& caller)
{
    if (m_random.below(60) != 0)
        return;
    const size_t n = m_random.below(m_nodes.size());
    // A frozen node does not answer its callers.
    if (m_loop.isFrozen(static_cast<int>(n)))
        return;
    m_loop.setOwner(static_cast<int>(n));
    if (!caller.isAccepted || chance(0.1))
        submit(caller, n);
    else if (!caller.isCancelAcknowledged && chance(0.02))
        cancel(caller, n);
    else
        read(caller, n);
    QCoreApplication::sendPostedEvents();
}

void JobWorld::submit(Caller& caller, size_t n)
{
    // Until the reply arrives, the caller does not know the outcome.
    const bool wasOutcomeUnknown = std::exchange(caller.isOutcomeUnknown, true);
    Node& node = *m_nodes[n];
    node.jobs->submit(caller.job, *node.environment.configuration->findJobRoute("b", "h.example"), "h.example",
        [this, &caller, wasOutcomeUnknown](const std::optional<Error>& error) {
            if (!error) {
                m_counts.accepted += caller.isAccepted ? 0 : 1;
                caller.isAccepted = true;
            } else if (error->kind() != ErrorKind::MayHaveRun && !wasOutcomeUnknown) {
                caller.isOutcomeUnknown = false;
                if (m_table.find(JobRows::record(caller.job.jobId)))
                    reportViolation(caller, "a rejected job exists");
            }
        });
}

void JobWorld::read(Caller& caller, size_t n)
{
    const size_t after = m_random.below(caller.seenResults.size() + 1);
    m_nodes[n]->jobs->readResults(
        caller.job.jobId, after, [this, &caller, after](const std::variant<JobResultPage, Error>& result) {
            if (const auto* page = std::get_if<JobResultPage>(&result))
                checkPage(caller, after, *page);
            else if (std::get<Error>(result).kind() == ErrorKind::NotFound)
                reportViolation(caller, "an accepted job is not found");
        });
}

void JobWorld::cancel(Caller& caller, size_t n)
{
    m_nodes[n]->jobs->cancel(caller.job.jobId, [this, &caller](const std::optional<Error>& error) {
        if (error || caller.isCancelAcknowledged)
            return;
        ++m_counts.cancelled;
        caller.isCancelAcknowledged = true;
        const std::string& id = caller.job.jobId;
        caller.resultsAtCancel = m_table.rowsIn(JobRows::resultRange(id, 0)).size();
    });
}

void JobWorld::checkPage(Caller& caller, size_t after, const JobResultPage& page)
{
    for (size_t n = 0; n < page.results.size(); ++n) {
        const size_t position = after + n;
        if (position == caller.seenResults.size())
            caller.seenResults.push_back(page.results[n]);
        else if (position < caller.seenResults.size() && caller.seenResults[position] != page.results[n])
            reportViolation(caller, "the result at position " + std::to_string(position) + " changed");
    }
}

void JobWorld::checkStore(Caller& caller)
{
    const std::string& id = caller.job.jobId;
    const auto row = m_table.find(JobRows::record(id));
    const auto head = row ? decodeJobHead(*row) : std::nullopt;
    if (!head) {
        if (caller.isAccepted)
            reportViolation(caller, "an accepted job is missing from the store");
        return;
    }
    m_counts.ownerChanges += head->owner != caller.lastOwner ? 1 : 0;
    caller.lastOwner = head->owner;
    std::set<std::string> itemsWithResult;
    const std::vector<StoredRow> rows = m_table.rowsIn(JobRows::resultRange(id, 0));
    for (size_t n = 0; n < rows.size(); ++n) {
        if (JobRows::numberOf(rows[n].address.key) != n)
            reportViolation(caller, "position " + std::to_string(n) + " has no result");
        const auto contents = JobRows::join({ rows[n] });
        const auto result = contents.empty() ? std::nullopt : decodeJobResult(contents.front().second);
        if (!result)
            reportViolation(caller, "a result cannot be read");
        else if (!itemsWithResult.insert(result->itemId).second)
            reportViolation(caller, "item " + result->itemId + " has two results");
        else if (!result->isCompleted || result->output != expectedOutput(result->itemId))
            reportViolation(caller, "item " + result->itemId + " has a wrong output");
    }
    if (caller.isCancelAcknowledged && rows.size() > caller.resultsAtCancel)
        reportViolation(caller, "a cancelled job got another result");
    if (caller.isCancelAcknowledged && head->state == JobHead::State::Open)
        reportViolation(caller, "a cancelled job is open again");
}

void JobWorld::checkFinalState()
{
    for (Caller& it : m_callers) {
        const auto row = m_table.find(JobRows::record(it.job.jobId));
        const auto head = row ? decodeJobHead(*row) : std::nullopt;
        if (!head || head->state == JobHead::State::Open)
            reportViolation(it, "the job is not done after the faults");
        else if (head->state == JobHead::State::Done)
            ++m_counts.done;
    }
}

void JobWorld::reportViolation(const Caller& caller, const std::string& what)
{
    m_violations.push_back("seed " + std::to_string(m_options.seed) + ", "
        + std::to_string(std::chrono::duration_cast<Milliseconds>(m_clock.now().time_since_epoch()).count()) + " ms, "
        + caller.job.jobId + ": " + what);
}

}
