#include "ConnectionLimits.h"

#include <LibGateway/ConnectionShares.h>

#include <algorithm>
#include <sys/resource.h>
#include <utility>

namespace Chicorydock {

namespace {

    ConnectionShares connectionShares(const Settings::Gateway& gateway)
    {
        constexpr uint64_t usualDescriptors = 1'024;
        rlimit limit {};
        const bool isKnown = ::getrlimit(RLIMIT_NOFILE, &limit) == 0;
        const uint64_t allowed = isKnown ? limit.rlim_cur : std::max(gateway.maxDescriptors, usualDescriptors);
        const uint64_t stated = gateway.maxDescriptors;
        return ConnectionShares::of(stated == 0 ? allowed : std::min(stated, allowed), gateway.memoryMb);
    }

    const char* name(CallerLimit limit)
    {
        switch (limit) {
        case CallerLimit::Connections:
            return "connections";
        case CallerLimit::RequestMemory:
            return "request_memory";
        case CallerLimit::ResponseMemory:
            return "response_memory";
        }
        return "";
    }

}

ConnectionLimits::ConnectionLimits(const Settings::Gateway& gateway, const Ports& ports, PooledHttpClient& endpoints)
    : m_ports(ports)
{
    const ConnectionShares shares = connectionShares(gateway);
    const auto& [callers, peers, status] = m_ports;
    callers.server.setMaxConnections(shares.callers);
    peers.server.setMaxConnections(shares.peers);
    status.server.setMaxConnections(shares.status);
    endpoints.setMaxConnections(shares.endpoints);
}

void ConnectionLimits::record(EventLog& log)
{
    for (size_t port = 0; port < m_ports.size(); ++port) {
        const HttpServer& server = m_ports[port].server;
        for (size_t n = 0; n < callerLimits; ++n) {
            const CallerLimit limit { static_cast<int>(n) };
            const LimitedCallers& limited = server.limitedCallers(limit);
            const uint64_t previous = std::exchange(m_recorded[port][n], limited.count);
            if (limited.count == previous)
                continue;
            log.record("caller", "limited", limited.lastAddress, {},
                { { "reason", name(limit) }, { "port", m_ports[port].name },
                    { "count", static_cast<qint64>(limited.count - previous) },
                    { "connections", static_cast<qint64>(server.connections()) } });
        }
    }
}

void ConnectionLimits::updateMetrics(MetricsRegistry& metrics) const
{
    for (const Port& it : m_ports) {
        metrics.gauge("chicorydock_connections", "Open connections.", { { "port", it.name } })
            .set(static_cast<double>(it.server.connections()));
        for (size_t n = 0; n < callerLimits; ++n) {
            const CallerLimit limit { static_cast<int>(n) };
            metrics
                .gauge("chicorydock_callers_limited", "Times that a limit was applied to a caller since the start.",
                    { { "port", it.name }, { "reason", name(limit) } })
                .set(static_cast<double>(it.server.limitedCallers(limit).count));
        }
    }
}

}
