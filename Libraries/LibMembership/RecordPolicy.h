#pragma once

#include <LibMembership/PeerMessage.h>

namespace Chicorydock {

/// Decides how far a record spreads. Records about endpoints and loads stay within the failure domain by default: at
/// 6,100 endpoints a node could not pay for those of all domains.
///
/// Thread safety: called on the controllers' thread.
class RecordPolicy {
public:
    enum class Scope : uint8_t {
        /// Neither kept nor passed on.
        Ignored,
        FailureDomain,
        Everywhere,
    };

    virtual ~RecordPolicy() = default;

    /// Returns the scope of a record. All nodes should agree on it.
    virtual Scope scope(const GossipRecord&) const { return Scope::FailureDomain; }
};

}
