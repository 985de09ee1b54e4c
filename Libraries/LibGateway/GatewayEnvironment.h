#pragma once

#include <LibCore/Clock.h>
#include <LibCore/MemoryBudget.h>
#include <LibCore/Random.h>
#include <LibGateway/EndpointDirectory.h>
#include <LibGateway/EndpointLinkMonitor.h>
#include <LibGateway/GatewayConfiguration.h>
#include <LibGateway/KeyTableCache.h>
#include <LibGateway/PromptQuarantine.h>
#include <LibGateway/RelayPeers.h>
#include <LibGateway/SlotBroker.h>
#include <LibGateway/StreamOrigins.h>
#include <LibGateway/WireFormat.h>
#include <LibGateway/WorkspaceMetrics.h>
#include <LibHTTP/HttpClient.h>
#include <LibLog/EventLog.h>
#include <LibMetrics/MetricsRegistry.h>
#include <LibPlatform/ViewRefresher.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <vector>

namespace Chicorydock {

/// Maximum time to open a connection to an endpoint; the longest round trip takes less than 20 ms.
constexpr Milliseconds endpointConnectTimeout { 400 };

/// Limit on the size of one response of an endpoint. A response is held in memory until it is complete, and a faulty
/// endpoint may send bytes without end.
constexpr qsizetype maxAnswerBytes = 8 * 1024 * 1024;

/// Dependencies shared by the components of a gateway. All members outlive those components.
struct GatewayEnvironment {
    const Clock& clock;
    Random& random;
    const WireFormat& wire;
    HttpClient& http;
    SlotBroker& broker;
    EndpointDirectory& directory;
    PromptQuarantine& quarantine;
    StreamOrigins& origins;
    /// Brings the directory up to date.
    ViewRefresher& endpointView;
    EndpointLinkMonitor& links;
    const RelayPeers& relayPeers;
    EventLog& log;
    MetricsRegistry& metrics;
    /// For what the node holds of responses.
    MemoryBudget& responseMemory;
    /// The current configuration; its version is 0 until one has been received.
    std::shared_ptr<const GatewayConfiguration> configuration;
    /// Returns whether the configuration is the newest one, as far as this node can know. If it is not set, the
    /// configuration counts as the newest one.
    std::function<bool()> isConfigurationCurrent {};
    WorkspaceMetrics workspaceMetrics {};
    mutable KeyTableCache keyCache {};

    /// Returns the keys of the current configuration.
    const KeyTable& keys() const { return keyCache.of(configuration, random); }

    /// Returns whether this node has lost the endpoints while a peer reaches them.
    bool shouldDeferToPeers() const { return links.areLost() && !relayPeers.relayPeers().empty(); }

    /// Returns whether a peer has a newer configuration in force, so that what is unknown here may be known there.
    bool isConfigurationOutdated() const
    {
        const std::vector<RelayPeer> peers = relayPeers.relayPeers();
        return std::ranges::any_of(
            peers, [this](const RelayPeer& it) { return it.configurationVersion > configuration->version; });
    }

    /// Decodes the head of an endpoint's response to a request that was sent at that time, and records what the
    /// endpoint reports about itself: its load, its rate limit, and that it is leaving or is not the intended one. No
    /// new work starts at an endpoint of the latter two kinds. `request` has the fields of the caller or the item.
    EndpointAnswerHead processAnswerHead(const std::string& endpoint, int status, const HttpHeaders& headers,
        MonotonicTime sentAt, const HttpHeaders& request) const
    {
        EndpointAnswerHead head = wire.decodeAnswerHead(status, headers);
        recordResponse(endpoint);
        if (head.load)
            broker.observe(endpoint, *head.load);
        if (head.rateLimit && !head.isMisdirected)
            broker.observeRate(endpoint, { *head.rateLimit, *head.rateLimit == unlimitedRate ? sentAt : clock.now() });
        const bool isExcluded = head.isLeaving && directory.markLeaving(endpoint, clock.now());
        const bool isReplaced = showsReplacement(head, endpoint, wire.hasCondition(request));
        if ((isReplaced && directory.markReplaced(endpoint)) || isExcluded)
            broker.setEndpoints(directory.usable());
        return head;
    }

    /// Records that the endpoint responds, which shows that it has not crashed.
    void recordResponse(const std::string& endpoint) const
    {
        if (quarantine.hasEvidence())
            quarantine.recordResponse(directory.find(endpoint).value_or(EndpointRecord { endpoint }), clock.now());
    }

    /// Returns whether the response shows that the address of the endpoint belongs to another one. A refusal of a
    /// request with a condition of its caller does not, unless the endpoint names itself: no caller may keep others
    /// from an endpoint.
    static bool showsReplacement(const EndpointAnswerHead& head, const std::string& endpoint, bool hasCondition)
    {
        return head.isMisdirected && (head.instance ? *head.instance != endpoint : !hasCondition);
    }

    /// Decodes the head of a response that a peer passes on. Records only that the endpoint is leaving; the rest is the
    /// peer's to act on.
    EndpointAnswerHead processRelayedAnswerHead(int status, const HttpHeaders& headers) const
    {
        EndpointAnswerHead head = wire.decodeAnswerHead(status, headers);
        const auto endpoint = headers.find(relayedEndpointField);
        if (head.isLeaving && endpoint && directory.markLeaving(endpoint->toStdString(), clock.now()))
            broker.setEndpoints(directory.usable());
        return head;
    }
};

}
