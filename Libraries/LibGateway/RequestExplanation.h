#pragma once

#include <LibCore/Error.h>
#include <LibGateway/EndpointEvaluation.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Chicorydock {

/// A service that would receive a request, and what the scheduler would decide there.
struct ServiceExplanation {
    /// Share of the requests of the route that the service receives.
    uint32_t weight { 1 };
    SlotExplanation decision {};

    auto operator<=>(const ServiceExplanation&) const = default;
};

/// What a node would do with a request now, and why. Contains no key.
struct RequestExplanation {
    std::string node;
    /// Version of the configuration in force at the node.
    uint64_t configuration { 0 };
    /// Why the request would be refused before it is queued for a slot.
    std::optional<Error> refusal {};
    /// Name and prefix of the matched route; empty if there is none.
    std::string route {};
    std::string prefix {};
    /// Prefixes of the other routes of the host.
    std::vector<std::string> otherPrefixes {};
    /// Workspace of the caller, empty for an anonymous one. Nothing if the configuration holds no workspaces.
    std::optional<std::string> workspace {};
    uint32_t priority { 0 };
    /// Number of items; 0 if the request submits no job.
    uint32_t items { 0 };
    /// Node that allocates the slots for this one.
    std::string coordinator {};
    /// The services of the route that endpoints offer. Empty if the request would be refused before, or if another node
    /// allocates the slots: only that one knows what is in use.
    std::vector<ServiceExplanation> services {};

    bool operator==(const RequestExplanation&) const = default;
};

}
