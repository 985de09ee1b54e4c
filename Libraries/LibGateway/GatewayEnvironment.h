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
};

}
