#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibEndpoint/EndpointMessages.h>

#include <map>

namespace Chicorydock {

/// An endpoint of an engine service in the controller's failure domain.
struct PlacementEndpoint {
    std::string id;
    /// `HOST:PORT`.
    std::string address;
    std::string service;

    auto operator<=>(const PlacementEndpoint&) const = default;
};

/// The models that each endpoint should have loaded, by endpoint id.
using PlacementPlan = std::map<std::string, std::vector<LoadedModel>>;

/// Chooses the models of each endpoint. Precondition: `endpoints` are live, not leaving, and of one failure domain.
/// A model with a number of replicas goes to the endpoints with the highest rendezvous hashes, so that a change of the
/// endpoints moves as few models as possible. Deterministic; may be called from any thread.
PlacementPlan makePlacementPlan(const Configuration&, const std::vector<PlacementEndpoint>& endpoints);

/// Returns the next order that brings an endpoint closer to its desired models, or nothing if it has them. Models are
/// loaded before others are unloaded, unless `unloadsFirst`: a load may have failed for lack of memory.
std::optional<EndpointOrder> nextOrder(
    const std::vector<LoadedModel>& desired, const EndpointState& observed, bool unloadsFirst);

}
