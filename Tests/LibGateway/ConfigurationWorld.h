#pragma once

#include <LibPlatform/TableFollower.h>
#include <Tests/Support/SimulatedClock.h>
#include <Tests/Support/SimulatedEventLoop.h>
#include <platform/PlatformWireFormat.h>

#include <QTimer>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
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
                m_nodes.push_back(std::make_unique<Node>(*this));
        }
    }

    /// Accepts a version of the configuration with that many routes.
    void put(uint64_t version, size_t routes) { store.put(document(version, routes)); }

    void start()
    {
        for (const auto& it : m_nodes)
            it->follower.start();
    }

    void run(Milliseconds time)
    {
        for (Milliseconds n { 0 }; n < time; ++n) {
            clock.advance(Milliseconds { 1 });
            m_loop.advance(Milliseconds { 1 });
        }
    }

    /// Returns the number of nodes that have at least that version in force.
    size_t nodesWith(uint64_t version) const
    {
        return static_cast<size_t>(
            std::ranges::count_if(m_nodes, [&](const auto& it) { return it->version >= version; }));
    }

    SimulatedClock clock;
    RegionLink link { clock, linkBytesPerSecond };
    RemoteConfigurationStore store { link };

private:
    struct Node final : TableListener {
        explicit Node(ConfigurationWorld& world)
            : follower(world.store, { world.m_wire.configurationTable(), { "" }, Milliseconds { 1'200 } }, *this)
            , m_world(world)
        {
        }

        void onTableListed(const std::vector<StoredRow>& rows) override { onRowsChanged(rows); }
        void onRowsChanged(const std::vector<StoredRow>& rows) override
        {
            for (const StoredRow& it : rows) {
                if (const auto configuration = m_world.m_wire.decodeConfiguration(it.value))
                    version = std::max(version, configuration->version);
            }
        }
        void onReachableChanged(bool) override { }

        TableFollower follower;
        uint64_t version { 0 };

    private:
        ConfigurationWorld& m_world;
    };

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
    std::vector<std::unique_ptr<Node>> m_nodes;
};

}
