#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace Chicorydock {

/// An endpoint that is known to a node.
struct KnownEndpoint {
    std::string id;
    /// `HOST:PORT`.
    std::string address;
    std::string service;
    std::string region;
    std::string failureDomain;
    /// Final: a leaving endpoint never becomes live again under the same id.
    bool isLeaving { false };

    auto operator<=>(const KnownEndpoint&) const = default;
};

/// All endpoints that are known to a node, by id.
struct EndpointSet {
    std::map<std::string, KnownEndpoint> endpoints;

    auto operator<=>(const EndpointSet&) const = default;

    /// Returns the endpoint or null. May be called from any thread.
    const KnownEndpoint* find(const std::string& id) const
    {
        const auto it = endpoints.find(id);
        return it == endpoints.end() ? nullptr : &it->second;
    }
};

}
