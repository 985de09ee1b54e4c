#pragma once

#include <LibMembership/PeerMessage.h>

namespace Chicorydock {

/// Decides how far a record spreads. Records about endpoints and loads stay within the failure domain by default: at
/// 6,100 endpoints, the records of all domains would exceed the traffic budget of a node.
///
/// Thread safety: called on the controllers' thread.
class RecordPolicy {
public:
    enum class Scope : uint8_t {
        /// Neither stored nor forwarded.
        Ignored,
        FailureDomain,
        Everywhere,
    };

    virtual ~RecordPolicy() = default;

    /// Returns the scope of a record. All nodes should return the same scope for it.
    virtual Scope scope(const GossipRecord&) const { return Scope::FailureDomain; }
};

}
