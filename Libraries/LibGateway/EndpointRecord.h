#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace Chicorydock {

/// An endpoint as it registered itself. Each start of an endpoint is an incarnation of its own.
struct EndpointRecord {
    std::string id;
    /// `HOST:PORT`.
    std::string address;
    std::string service;
    std::string failureDomain;
    /// Requests that it runs at the same time.
    uint32_t slotCount { 1 };
    /// Whether it is leaving and takes no new work.
    bool isLeaving { false };
    /// Time of its start in milliseconds since the Unix epoch, 0 if unknown. An endpoint may start again under its id.
    int64_t startedAt { 0 };

    auto operator<=>(const EndpointRecord&) const = default;
};

}
