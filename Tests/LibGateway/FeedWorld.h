#pragma once

#include "ConfigurationWorld.h"

#include <LibGateway/CoordinatorChoice.h>
#include <LibGateway/DomainFeed.h>
#include <LibGateway/FeedTiming.h>
#include <Tests/Support/MemoryEventLog.h>

#include <set>

namespace Chicorydock {

/// A table of the store with thousands of rows, as nodes of another region see it over one link.
class RemoteTable final : public RowStore {
public:
    static constexpr size_t pageRows = 500;

    explicit RemoteTable(RegionLink& link)
        : m_link(link)
    {
    }

    /// Bytes that crossed the link.
    qsizetype bytes { 0 };
    uint64_t listings { 0 };

    void put(size_t row, const QByteArray& value)
    {
        const std::string key = "endpoint-" + std::to_string(100'000 + row);
        m_rows[key] = { { "servers", "", key }, value, ++m_version, false };
        m_changes.push_back(m_rows[key]);
        for (Waiting& it : std::exchange(m_waiting, {}))
            send(changesAfter(it.after), it.reply);
    }

    /// Changes up to now are no longer known.
    void dropHistory() { m_oldestVersion = m_version; }

    uint64_t version() const { return m_version; }
    size_t rows() const { return m_rows.size(); }

    void read(const RowRange& range, Reply<RowPage> reply) override
    {
        RowPage page { {}, false, m_version };
        auto it = m_rows.lower_bound(range.from);
        for (; it != m_rows.end() && page.rows.size() < pageRows; ++it)
            page.rows.push_back(it->second);
        page.hasMore = it != m_rows.end();
        listings += range.from.empty() ? 1 : 0;
        send(page, reply);
    }

    void changes(const std::string&, uint64_t after, Milliseconds wait, Reply<RowPage> reply) override
    {
        if (after < m_oldestVersion) {
            QTimer::singleShot(4, &m_timers, [reply = std::move(reply)] {
                reply(StoreFailure { StoreFailure::Kind::HistoryLost, "history is lost" });
            });
            return;
        }
        if (m_version > after || wait.count() == 0) {
            send(changesAfter(after), reply);
            return;
        }
        const uint64_t number = ++m_calls;
        m_waiting.push_back({ number, after, std::move(reply) });
        QTimer::singleShot(wait, &m_timers, [this, number] {
            const auto it = std::ranges::find(m_waiting, number, &Waiting::number);
            if (it == m_waiting.end())
                return;
            const Waiting ended = std::move(*it);
            m_waiting.erase(it);
            send(RowPage { {}, false, m_version }, ended.reply);
        });
    }

    void commit(const RowTransaction&, Reply<RowCommit>) override { }
    std::optional<Milliseconds> time() const override { return {}; }
    void putObject(const std::string&, const QByteArray&, Reply<bool>) override { }
    void getObject(const std::string&, Reply<QByteArray>) override { }

private:
    struct Waiting {
        uint64_t number { 0 };
        uint64_t after { 0 };
        Reply<RowPage> reply;
    };

    RowPage changesAfter(uint64_t after) const
    {
        RowPage page { {}, false, m_version };
        std::ranges::copy_if(
            m_changes, std::back_inserter(page.rows), [&](const StoredRow& it) { return it.version > after; });
        return page;
    }

    void send(const RowPage& page, const Reply<RowPage>& reply)
    {
        qsizetype size = 300;
        // Values are sent in base64, with the address of the row.
        for (const StoredRow& it : page.rows)
            size += 100 + it.value.size() * 4 / 3;
        bytes += size;
        m_link.deliver(size, [reply, page] { reply(page); });
    }

    RegionLink& m_link;
    std::map<std::string, StoredRow> m_rows;
    std::vector<StoredRow> m_changes;
    uint64_t m_version { 0 };
    uint64_t m_oldestVersion { 0 };
    uint64_t m_calls { 0 };
    std::vector<Waiting> m_waiting;
    QObject m_timers;
};

/// The store as one node reaches it.
class NodeStore final : public RowStore {
public:
    explicit NodeStore(RowStore& store)
        : m_store(store)
    {
    }

    bool isLost { false };

    void read(const RowRange& range, Reply<RowPage> reply) override
    {
        if (isLost) {
            fail(std::move(reply));
            return;
        }
        // The response of a call that has timed out still crosses the link.
        const auto pending = std::make_shared<Reply<RowPage>>(std::move(reply));
        m_store.read(range, [pending](const StoreResult<RowPage>& result) {
            if (*pending)
                std::exchange(*pending, {})(result);
        });
        QTimer::singleShot(FeedTiming::storeTimeout, &m_timers, [pending] {
            if (*pending)
                std::exchange(*pending, {})(StoreFailure { StoreFailure::Kind::OutcomeUnknown, "no response" });
        });
    }
    void changes(const std::string& table, uint64_t after, Milliseconds wait, Reply<RowPage> reply) override
    {
        if (isLost)
            fail(std::move(reply));
        else
            m_store.changes(table, after, wait, std::move(reply));
    }
    void commit(const RowTransaction&, Reply<RowCommit>) override { }
    std::optional<Milliseconds> time() const override { return {}; }
    void putObject(const std::string&, const QByteArray&, Reply<bool>) override { }
    void getObject(const std::string&, Reply<QByteArray>) override { }

private:
    void fail(Reply<RowPage> reply)
    {
        QTimer::singleShot(FeedTiming::storeTimeout, &m_timers, [reply = std::move(reply)] {
            reply(StoreFailure { StoreFailure::Kind::OutcomeUnknown, "no response" });
        });
    }

    RowStore& m_store;
    QObject m_timers;
};

/// Nodes of one failure domain that follow one table over a link to the region of the store.
class FeedWorld {
public:
    static constexpr double linkBytesPerSecond = 30e6 / 8;

    /// What a node does with calls of other nodes.
    enum class State : uint8_t {
        Running,
        /// Connections are refused, and no reports are sent.
        Stopped,
        /// Calls get no answer, and reports go on.
        Silent,
        /// As a node of an earlier version.
        Old,
    };

    struct Node final : TableListener, HttpClient {
        Node(FeedWorld& world, std::string nodeName, bool isListedAtOnce)
            : name(std::move(nodeName))
            , store(world.store)
            , m_world(world)
            , planner(name, world.clock.now())
            , feed(store, *this, world.clock, world.m_log, { { "servers", isListedAtOnce } })
            , follower(feed, { "servers", { "" }, FeedTiming::waitFor(FeedTiming::maxEndpointViewAge) }, *this)
        {
        }

        void onTableListed(const TableListing& listing) override
        {
            rows = listing.rows.size();
            onRowsChanged(listing.rows);
        }
        void onRowsChanged(const std::vector<StoredRow>& changed) override
        {
            for (const StoredRow& it : changed)
                version = std::max(version, it.version);
        }
        void onReachableChanged(bool) override { }

        std::unique_ptr<HttpCall> start(const HttpCallRequest& request, HttpCallObserver& observer) override
        {
            return m_world.call(*this, request, observer);
        }

        const std::string name;
        NodeStore store;
        State state { State::Running };
        /// Whether other nodes of the failure domain are reached.
        bool isCutOff { false };
        uint64_t version { 0 };
        size_t rows { 0 };

    private:
        FeedWorld& m_world;

    public:
        FeedPlanner planner;
        DomainFeed feed;
        TableFollower follower;
    };

    /// `others` is the number of nodes of other failure domains; `isListedAtOnce` says that each node lists the table.
    FeedWorld(size_t nodes, size_t others, size_t rows, SimulatedEventLoop& loop, bool isListedAtOnce = false)
        : m_loop(loop)
        , m_others(others)
    {
        for (size_t n = 0; n < rows; ++n)
            store.put(n, QByteArray(280, 'x'));
        for (size_t n = 0; n < nodes; ++n)
            this->nodes.push_back(std::make_unique<Node>(*this, "n" + std::to_string(n), isListedAtOnce));
    }

    void start()
    {
        for (const auto& it : nodes)
            it->follower.start();
        exchangeReports();
        std::set<std::string> addresses;
        for (const auto& it : nodes)
            addresses.insert(it->name);
        for (size_t n = 0; n < m_others; ++n)
            addresses.insert("other" + std::to_string(n));
        for (const auto& it : nodes)
            it->planner.setAddresses(addresses);
    }

    void run(Milliseconds time)
    {
        for (Milliseconds n { 0 }; n < time; ++n) {
            clock.advance(Milliseconds { 1 });
            m_loop.advance(Milliseconds { 1 });
            if (++m_steps % reportInterval.count() == 0)
                exchangeReports();
        }
    }

    /// Runs until all running nodes know all changes, and returns how long that took, at most `limit`.
    Milliseconds runUntilCurrent(Milliseconds limit)
    {
        Milliseconds time { 0 };
        while (time < limit && current() < running()) {
            run(Milliseconds { 10 });
            time += Milliseconds { 10 };
        }
        return time;
    }

    size_t current() const
    {
        return count([&](const Node& it) { return it.version == store.version(); });
    }
    size_t running() const
    {
        return count([](const Node&) { return true; });
    }

    /// Returns the nodes that follow the store.
    std::vector<Node*> sources()
    {
        std::vector<Node*> found;
        for (const std::string& it : chosenFor(*nodes.front()))
            found.push_back(find(it));
        return found;
    }

    SimulatedClock clock;
    RegionLink link { clock, linkBytesPerSecond };
    RemoteTable store { link };
    std::vector<std::unique_ptr<Node>> nodes;

private:
    static constexpr Milliseconds reportInterval { 50 };
    /// Time for an answer between nodes of a failure domain.
    static constexpr Milliseconds hop { 2 };

    size_t count(const std::function<bool(const Node&)>& condition) const
    {
        return static_cast<size_t>(std::ranges::count_if(
            nodes, [&](const auto& it) { return it->state != State::Stopped && condition(*it); }));
    }

    Node* find(const std::string& name)
    {
        const auto it = std::ranges::find(nodes, name, [](const auto& node) { return node->name; });
        return it->get();
    }

    std::vector<CoordinatorCandidate> peersOf(const Node& node) const
    {
        std::vector<CoordinatorCandidate> peers;
        for (const auto& it : nodes) {
            const bool isHeard = it->state != State::Stopped && !it->isCutOff && !node.isCutOff;
            if (it.get() != &node && isHeard)
                peers.push_back({ it->name, 100 });
        }
        return peers;
    }

    std::vector<std::string> chosenFor(const Node& node) const
    {
        return chooseCoordinators({ node.name, 100 }, "domain", peersOf(node));
    }

    void exchangeReports()
    {
        for (const auto& it : nodes) {
            if (it->state == State::Stopped)
                continue;
            const size_t peers = it->isCutOff ? 0 : peersOf(*it).size() + m_others;
            FeedSurroundings surroundings { it->name, chosenFor(*it), {}, peers };
            for (const std::string& name : surroundings.chosen) {
                if (name != it->name)
                    surroundings.sources.push_back({ name, name });
            }
            it->feed.setPlan(it->planner.plan(surroundings, clock.now()));
        }
    }

    class Call final : public HttpCall {
    public:
        explicit Call(HttpCallObserver& observer)
            : m_observer(observer)
        {
        }

        void setPaused(bool) override { }

        void failAfter(Milliseconds time)
        {
            QTimer::singleShot(time, &m_timers, [this] {
                m_observer.onFailed({ HttpFailure::Phase::NotSent, HttpFailure::Reason::Refused, "test" });
            });
        }

        void send(const HttpRequest& request, HttpHandler& handler)
        {
            m_exchange = std::make_shared<FakeExchange>(request);
            m_exchange->onWrite = [this] { QTimer::singleShot(hop, &m_timers, [this] { finish(); }); };
            handler.handle(m_exchange);
        }

        ~Call() override
        {
            if (m_exchange)
                m_exchange->onWrite = {};
        }

    private:
        void finish()
        {
            const HttpResponse response = *m_exchange->response;
            m_observer.onHeaders(response.status, response.headers);
            m_observer.onData(response.body);
            m_observer.onFinished();
        }

        HttpCallObserver& m_observer;
        std::shared_ptr<FakeExchange> m_exchange;
        QObject m_timers;
    };

    std::unique_ptr<HttpCall> call(const Node& caller, const HttpCallRequest& request, HttpCallObserver& observer)
    {
        auto call = std::make_unique<Call>(observer);
        Node& node = *find(request.address);
        const qsizetype query = request.target.indexOf('?');
        if (node.state == State::Stopped)
            call->failAfter(hop);
        else if (node.state == State::Silent || node.isCutOff || caller.isCutOff)
            call->failAfter(request.progressTimeout);
        else if (node.state == State::Old)
            call->send({}, m_oldNode);
        else
            call->send({ .method = request.method,
                           .path = request.target.left(query),
                           .query = request.target.mid(query + 1),
                           .target = request.target },
                node.feed);
        return call;
    }

    struct OldNode final : HttpHandler {
        void handle(std::shared_ptr<HttpExchange> exchange) override { exchange->answer({ .status = 404 }); }
    };

    SimulatedEventLoop& m_loop;
    const size_t m_others;
    int64_t m_steps { 0 };
    OldNode m_oldNode;
    MemoryEventLog m_log;
};

}
