#pragma once

#include <LibHTTP/HttpServer.h>
#include <LibHTTP/PooledHttpClient.h>
#include <LibLog/EventLog.h>
#include <LibMetrics/MetricsRegistry.h>
#include <LibSettings/Settings.h>

#include <array>

namespace Chicorydock {

/// Limits the connections of a gateway, and tells which callers the limits of its servers were applied to.
///
/// Load: callers that exceed the limits. However many these are, each call of `record()` writes at most one line for
/// each port and limit.
///
/// Thread safety: used on the thread of the servers.
class ConnectionLimits final {
public:
    /// A server, and the name of its port in the log.
    struct Port {
        const char* name { nullptr };
        HttpServer& server;
    };
    using Ports = std::array<Port, 3>;

    /// Shares the descriptors out to the servers of callers, of peers and of the status, and to the client that
    /// connects to endpoints. All of them outlive this object. Must be called before a server listens.
    ConnectionLimits(const Settings::Gateway&, const Ports&, PooledHttpClient& endpoints);

    /// Records the callers that a limit was applied to since the last call.
    void record(EventLog&);

    /// Sets the numbers of connections and of limited callers in the registry.
    void updateMetrics(MetricsRegistry&) const;

private:
    const Ports m_ports;
    /// Numbers of limited callers in the latest lines, by port and limit.
    std::array<std::array<uint64_t, callerLimits>, std::tuple_size_v<Ports>> m_recorded {};
};

}
