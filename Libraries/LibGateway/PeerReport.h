#pragma once

#include <LibGateway/SlotScheduler.h>

#include <QByteArray>

#include <optional>
#include <string>
#include <unordered_map>

namespace Chicorydock {

/// Load report that a node sends to its peers.
struct PeerReport {
    std::string node;
    std::string failureDomain;
    /// Incremented with each report of the node.
    uint64_t sequence { 0 };
    /// Number of online requests that are queued for a slot.
    uint32_t waiting { 0 };
    bool isStoreReachable { false };
    bool isLeaving { false };
    /// Slots that the node uses, by `SlotScheduler::endpointKey()`.
    std::unordered_map<uint32_t, SlotUse> use;

    bool operator==(const PeerReport&) const = default;
};

/// Encodes the report as one datagram. May be called from any thread.
QByteArray encodePeerReport(const PeerReport&);

/// Decodes a datagram; returns nothing if it is not a report. May be called from any thread.
std::optional<PeerReport> decodePeerReport(const QByteArray&);

}
