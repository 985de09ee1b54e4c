#pragma once

#include <LibGateway/SlotScheduler.h>

#include <QByteArray>

#include <optional>
#include <string>
#include <unordered_map>

namespace Chicorydock {

/// What a node tells its peers of itself.
struct PeerReport {
    std::string node;
    std::string failureDomain;
    /// Rises with each report of the node.
    uint64_t sequence { 0 };
    /// Online requests that wait for a slot.
    uint32_t waiting { 0 };
    bool isStoreReachable { false };
    bool isLeaving { false };
    /// Slots in use, by the scheduler's key of the endpoint.
    std::unordered_map<uint32_t, SlotUse> use;

    bool operator==(const PeerReport&) const = default;
};

/// Returns the report as one datagram. May be called from any thread.
QByteArray encodePeerReport(const PeerReport&);

/// Returns the report, or nothing if the bytes are none. May be called from any thread.
std::optional<PeerReport> decodePeerReport(const QByteArray&);

}
