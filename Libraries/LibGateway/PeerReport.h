#pragma once

#include <LibGateway/SlotMessages.h>
#include <LibGateway/SlotPeers.h>
#include <LibGateway/SuspectPart.h>

#include <QByteArray>

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Chicorydock {

/// Report that a node sends to a peer.
struct PeerReport {
    std::string node;
    std::string failureDomain;
    /// Incremented with each report of the node.
    uint64_t sequence { 0 };
    /// Number of online requests that are queued for a slot.
    uint32_t waiting { 0 };
    bool isStoreReachable { false };
    /// Time for which the node has reached the store without interruption, 0 if it does not reach it or does not say.
    Milliseconds storeReachableFor { 0 };
    bool isLeaving { false };
    /// Time for which the node has lost its connections to the endpoints, 0 if it has not. It cannot forward requests.
    Milliseconds endpointsLostFor { 0 };
    /// Whether the node allocates slots, for itself or for others, so that its slot use concerns all other nodes that
    /// do so.
    bool isCoordinating { false };
    /// Processor capacity of the node's VM in percent of a core, 0 if unknown.
    uint32_t capacityPercent { 0 };
    /// Version of the configuration in force, 0 if there is none.
    uint64_t configurationVersion { 0 };
    /// Whether the node reads the configuration from the store for its failure domain, and reaches the store.
    bool isConfigurationSource { false };
    /// Time within which the node sends the peer its next report, 0 if unknown.
    Milliseconds nextWithin { 0 };
    /// Slots that the node has allocated, by `SlotPeers::endpointKey()`.
    std::unordered_map<uint32_t, SlotUse> use;
    /// Endpoints whose rate is limited, or was until lately, by `SlotPeers::endpointKey()`. Only nodes that allocate
    /// slots report them.
    std::unordered_map<uint32_t, ReportedRate> rates;
    /// Number of nodes for which the node allocates slots, 0 if unknown.
    uint32_t servedNodes { 0 };
    /// Charges of workspaces with rate limits. Only nodes that allocate slots report them, and only to each other.
    ReportedQuotas quotas {};
    /// Parts of prompts that may crash endpoints.
    std::vector<SuspectPart> suspectParts;
    /// Node that the slot message is for. Empty if there is none, or if an earlier version sent it.
    std::string recipient {};
    /// Message to the peer as coordinator or as member.
    std::optional<SlotReport> slotReport;
    std::optional<SlotReply> slotReply;

    bool operator==(const PeerReport&) const = default;

    /// Returns whether the report has a slot message for another process than `process`.
    bool isMisdelivered(const std::string& process) const { return !recipient.empty() && recipient != process; }
    /// Removes the slot messages of a misdelivered report. The rest tells about its sender.
    void removeSlotMessages();
};

/// Encodes the report as one datagram. May be called from any thread.
QByteArray encodePeerReport(const PeerReport&);

/// Decodes a datagram; returns nothing if it is not a report. May be called from any thread.
std::optional<PeerReport> decodePeerReport(const QByteArray&);

}
