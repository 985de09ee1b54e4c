#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace Chicorydock {

/// Registration of an endpoint. Each start of an endpoint is a separate incarnation, identified by `startedAt`.
struct EndpointRecord {
    std::string id;
    /// `HOST:PORT`.
    std::string address;
    std::string service;
    std::string failureDomain;
    /// Maximum number of requests that it runs concurrently.
    uint32_t slotCount { 1 };
    /// Whether it is draining and accepts no new work.
    bool isLeaving { false };
    /// Start time in milliseconds since the Unix epoch, 0 if unknown. An endpoint may restart under the same id.
    int64_t startedAt { 0 };
    /// Version of the registration in the store, 0 if unknown.
    uint64_t version { 0 };
    /// Version of the endpoint's software, empty if it states none. A stream that one version began must not continue
    /// at another one.
    std::string softwareVersion {};

    auto operator<=>(const EndpointRecord&) const = default;
};

}
