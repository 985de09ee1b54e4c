#pragma once

#include <LibCore/SeededRandom.h>
#include <LibGateway/ConfigurationFollower.h>
#include <LibGateway/ConfigurationPlan.h>
#include <Tests/Support/FakeExchange.h>
#include <Tests/Support/SimulatedClock.h>
#include <Tests/Support/SimulatedEventLoop.h>
#include <platform/PlatformWireFormat.h>

#include <QTimer>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Chicorydock {

/// A link between two regions that delivers what is sent over it one after the other.
class RegionLink final : public QObject {
public:
    RegionLink(const Clock& clock, double bytesPerSecond)
        : m_clock(clock)
        , m_bytesPerSecond(bytesPerSecond)
    {
    }

    void deliver(qsizetype bytes, std::function<void()> onDelivered)
    {
        const auto time = std::chrono::duration<double>(static_cast<double>(bytes) / m_bytesPerSecond);
        m_freeAt = std::max(m_freeAt, m_clock.now()) + std::chrono::duration_cast<MonotonicTime::duration>(time);
        QTimer::singleShot(std::chrono::ceil<Milliseconds>(m_freeAt - m_clock.now()), this, std::move(onDelivered));
    }

private:
    const Clock& m_clock;
    const double m_bytesPerSecond;
    MonotonicTime m_freeAt;
};

/// The operator's row in the store, with a feed that waits for changes, as nodes of another region see it.
class RemoteConfigurationStore final : public RowStore {
public:
    explicit RemoteConfigurationStore(RegionLink& link)
        : m_link(link)
    {
    }

    void put(const QByteArray& document)
    {
        m_row = { { m_wire.configurationTable(), "", m_wire.configurationKey() }, document, ++m_version, false };
        for (const auto& [number, reply] : std::exchange(m_waiting, {}))
            send(reply);
    }

    void read(const RowRange&, Reply<RowPage> reply) override { send(reply); }

    void changes(const std::string&, uint64_t after, Milliseconds wait, Reply<RowPage> reply) override
    {
        if (m_version > after) {
            send(reply);
            return;
        }
        const uint64_t number = ++m_calls;
        m_waiting[number] = std::move(reply);
        QTimer::singleShot(wait, &m_timers, [this, number] {
            if (const auto it = m_waiting.extract(number))
                it.mapped()(RowPage { {}, false, m_version });
        });
    }

    void commit(const RowTransaction&, Reply<RowCommit>) override { }
    std::optional<Milliseconds> time() const override { return {}; }
    void putObject(const std::string&, const QByteArray&, Reply<bool>) override { }
    void getObject(const std::string&, Reply<QByteArray>) override { }

private:
    void send(const Reply<RowPage>& reply)
    {
        // Values are sent in base64.
        const qsizetype bytes = m_row.value.size() * 4 / 3;
        m_link.deliver(bytes, [reply, page = RowPage { { m_row }, false, m_version }] { reply(page); });
    }

    PlatformWireFormat m_wire;
    RegionLink& m_link;
    StoredRow m_row;
    uint64_t m_version { 0 };
    uint64_t m_calls { 0 };
    std::map<uint64_t, Reply<RowPage>> m_waiting;
    QObject m_timers;
};

/// Calls between the nodes of a failure domain, which have links of 30 Mbit/s.
class DomainHttpClient final : public HttpClient {
public:
    /// Returns the handler of the node at an address, null if the node is down.
    using FindHandler = std::function<HttpHandler*(const std::string& address)>;

    explicit DomainHttpClient(FindHandler find)
        : m_find(std::move(find))
    {
    }

    std::unique_ptr<HttpCall> start(const HttpCallRequest& request, HttpCallObserver& observer) override
    {
        auto call = std::make_unique<Call>(observer);
        HttpHandler* const handler = m_find(request.address);
        if (!handler) {
            call->failAfter(request.connectTimeout);
            return call;
        }
        const auto exchange = std::make_shared<FakeExchange>(
            HttpRequest { .method = request.method, .path = request.target, .target = request.target });
        handler->handle(exchange);
        call->answerAfter(
            Milliseconds { 2 + exchange->response->body.size() / bytesPerMillisecond }, *exchange->response);
        return call;
    }

private:
    static constexpr qsizetype bytesPerMillisecond = 30'000'000 / 8 / 1'000;

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
                m_observer.onFailed({ HttpFailure::Phase::NotSent, HttpFailure::Reason::TimedOut, "node is down" });
            });
        }

        void answerAfter(Milliseconds time, const HttpResponse& response)
        {
            QTimer::singleShot(time, &m_timers, [this, response] {
                m_observer.onHeaders(response.status, response.headers);
                m_observer.onData(response.body);
                m_observer.onFinished();
            });
        }

    private:
        HttpCallObserver& m_observer;
        QObject m_timers;
    };

    const FindHandler m_find;
};

/// Nodes of one region that share a link to the store.
class ConfigurationWorld {
public:
    static constexpr double linkBytesPerSecond = 60e6 / 8;

    /// `nodes` is the number of nodes of each failure domain.
    ConfigurationWorld(const std::vector<size_t>& nodes, SimulatedEventLoop& loop)
        : m_loop(loop)
    {
        for (size_t domain = 0; domain < nodes.size(); ++domain) {
            for (size_t n = 0; n < nodes[domain]; ++n)
                m_nodes.push_back(std::make_unique<Node>(*this, domain, std::to_string(m_nodes.size())));
        }
    }

    /// Accepts a version of the configuration with that many routes.
    void put(uint64_t version, size_t routes) { store.put(document(version, routes)); }

    /// Starts all nodes at the same time.
    void start()
    {
        std::set<std::string> addresses;
        for (const auto& it : m_nodes)
            addresses.insert(it->name);
        for (const auto& it : m_nodes)
            it->follower.start(storeReadDelay(it->name, addresses));
    }

    /// Stops the nodes of a failure domain that read the store for it.
    void stopSources(size_t domain)
    {
        for (const auto& it : m_nodes) {
            if (it->domain == domain && it->follower.isActiveSource())
                it->stoppedAt = clock.now();
        }
    }

    void run(Milliseconds time)
    {
        for (Milliseconds n { 0 }; n < time; ++n) {
            clock.advance(Milliseconds { 1 });
            m_loop.advance(Milliseconds { 1 });
            if (n.count() % reportInterval.count() == 0)
                exchangeReports();
        }
    }

    /// Returns the number of running nodes that have at least that version in force.
    size_t nodesWith(uint64_t version) const
    {
        return static_cast<size_t>(std::ranges::count_if(
            m_nodes, [&](const auto& it) { return !it->stoppedAt && it->follower.version() >= version; }));
    }

    SimulatedClock clock;
    RegionLink link { clock, linkBytesPerSecond };
    RemoteConfigurationStore store { link };

private:
    /// Interval at which nodes notice changes of others.
    static constexpr Milliseconds reportInterval { 50 };

    /// Time after which a stopped node is considered dead.
    static constexpr Milliseconds livenessTimeout { 1'600 };

    static constexpr size_t sourcesPerDomain = 2;

    struct Node final : ConfigurationPeers, ConfigurationListener {
        Node(ConfigurationWorld& world, size_t domainNumber, std::string nodeName)
            : domain(domainNumber)
            , name(std::move(nodeName))
            , m_world(world)
            , m_client([&world](const std::string& address) { return world.findHandler(address); })
            , follower(world.store, world.m_wire, *this, m_client, world.clock, world.m_random, *this)
        {
        }

        std::vector<ConfigurationOffer> configurationOffers() const override { return m_world.offersTo(*this); }
        void onConfiguration(const ReceivedConfiguration&) override { }
        void onUnreadableConfiguration() override { }
        void onConfigurationStoreReachable(bool) override { }

        const size_t domain;
        const std::string name;
        std::optional<MonotonicTime> stoppedAt;

    private:
        ConfigurationWorld& m_world;
        DomainHttpClient m_client;

    public:
        ConfigurationFollower follower;
    };

    bool isConsideredAlive(const Node& node) const
    {
        return !node.stoppedAt || clock.now() < *node.stoppedAt + livenessTimeout;
    }

    HttpHandler* findHandler(const std::string& address)
    {
        const auto it = std::ranges::find(m_nodes, address, [](const auto& node) { return node->name; });
        return (*it)->stoppedAt ? nullptr : &(*it)->follower;
    }

    std::vector<ConfigurationOffer> offersTo(const Node& node) const
    {
        std::vector<ConfigurationOffer> offers;
        for (const auto& it : m_nodes) {
            if (it.get() == &node || !isConsideredAlive(*it) || it->follower.version() == 0)
                continue;
            const PeerDistance distance
                = it->domain == node.domain ? PeerDistance::FailureDomain : PeerDistance::Region;
            offers.push_back({ it->name, it->name, distance, it->follower.version(), it->follower.isActiveSource() });
        }
        return offers;
    }

    void exchangeReports()
    {
        std::map<size_t, size_t> sources;
        for (const auto& it : m_nodes) {
            if (isConsideredAlive(*it) && sources[it->domain]++ < sourcesPerDomain)
                it->follower.setSource(true);
            if (!it->stoppedAt)
                it->follower.update();
        }
    }

    static QByteArray document(uint64_t version, size_t routes)
    {
        QByteArray text = "{\"version\":" + QByteArray::number(static_cast<qulonglong>(version)) + ",\"routes\":[";
        for (size_t n = 0; n < routes; ++n) {
            const QByteArray name = QByteArray::number(static_cast<qulonglong>(n * 7919 % 999'983), 36);
            text += QByteArray(n > 0 ? "," : "") + R"({"name":"r-)" + name + R"(","host":"h.example","prefix":"/)"
                + name
                + R"(/","route_type":"idempotent","service":"registro","timeout_ms":1200,"target_latency_ms":200,)"
                  R"("priority":1,"max_attempts":2,"can_resume":false,"sticky":false,"gap_aim_ms":0})";
        }
        return text + "],\"services\":[]}";
    }

    SimulatedEventLoop& m_loop;
    PlatformWireFormat m_wire;
    SeededRandom m_random { 1 };
    std::vector<std::unique_ptr<Node>> m_nodes;
};

}
