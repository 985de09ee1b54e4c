#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Random.h>
#include <LibGateway/EndpointDirectory.h>
#include <LibGateway/GatewayConfiguration.h>
#include <LibGateway/SlotBroker.h>
#include <LibGateway/WireFormat.h>
#include <LibHTTP/HttpClient.h>
#include <LibLog/EventLog.h>
#include <LibMetrics/MetricsRegistry.h>

#include <memory>

namespace Chicorydock {

/// Longest time to open a connection to an endpoint; the longest way there and back is below 20 ms.
constexpr Milliseconds endpointConnectTimeout { 400 };

/// What the parts of a gateway share. All members outlive those parts.
struct GatewayEnvironment {
    const Clock& clock;
    Random& random;
    const WireFormat& wire;
    HttpClient& http;
    SlotBroker& broker;
    EndpointDirectory& directory;
    EventLog& log;
    MetricsRegistry& metrics;
    /// The configuration in force; version 0 until one is known.
    std::shared_ptr<const GatewayConfiguration> configuration;

    /// Decodes the head of an endpoint's answer and notes the load that it states.
    EndpointAnswerHead processAnswerHead(const std::string& endpoint, int status, const HttpHeaders& headers) const
    {
        EndpointAnswerHead head = wire.decodeAnswerHead(status, headers);
        if (head.load)
            broker.scheduler().observe(endpoint, *head.load, clock.now());
        return head;
    }
};

}
