#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Chicorydock {

/// A group of endpoints that answer the same requests.
struct Service {
    enum class Kind : uint8_t {
        /// Model engines.
        Engine,
        /// A plain HTTP service, reached under `/services/NAME/...`.
        Plain,
    };

    std::string name;
    Kind kind { Kind::Engine };
    /// Whether its endpoints refuse orders with an old fencing number.
    bool checksFencing { false };
    /// Routes of a plain service whose calls may not be repeated, as `METHOD /path/prefix`.
    std::vector<std::string> unrepeatableRoutes;
    /// Latency targets for 95 in 100 requests, in milliseconds.
    uint32_t firstTokenTargetMs { 1500 };
    uint32_t tokenGapTargetMs { 27 };

    auto operator<=>(const Service&) const = default;
};

/// A model that an engine service offers.
struct Model {
    std::string name;
    std::string service;
    std::string version;
    std::vector<std::string> adapters;
    /// How many endpoints of each failure domain should have it loaded; 0 means all.
    uint32_t replicasPerDomain { 0 };

    auto operator<=>(const Model&) const = default;
};

/// A customer, identified by the keys of its callers.
struct Workspace {
    std::string name;
    /// SHA-256 digests, in hexadecimal, of the keys that its callers present.
    std::vector<std::string> keyDigests;
    /// Worth of its requests relative to those of other workspaces.
    double worth { 1 };
    /// Largest number of its online requests in flight at one node; 0 means no limit.
    uint32_t maxInFlight { 0 };

    auto operator<=>(const Workspace&) const = default;
};

/// A complete configuration. Immutable once a revision number is assigned.
struct Configuration {
    /// 0 means that no configuration is in force.
    uint64_t revision { 0 };
    /// The operator's identifier of the change; a resent change has the same one.
    std::string requestId;
    std::string author;
    std::vector<Service> services;
    std::vector<Model> models;
    std::vector<Workspace> workspaces;

    auto operator<=>(const Configuration&) const = default;

    /// Returns the named item or null. May be called from any thread.
    const Service* findService(std::string_view name) const;
    const Model* findModel(std::string_view name) const;
    const Workspace* findWorkspaceByName(std::string_view name) const;
    /// Returns the workspace that the digest of a key belongs to, or null.
    const Workspace* findWorkspaceByKey(std::string_view keyDigest) const;
};

}
