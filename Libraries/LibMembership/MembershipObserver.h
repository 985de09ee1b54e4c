#pragma once

#include <LibMembership/PeerMessage.h>

namespace Chicorydock {

/// Receives changes of members, records and revisions. Called on the controllers' thread, from within `Membership`; it
/// may call `publish()` and `setRevision()`.
class MembershipObserver {
public:
    virtual ~MembershipObserver() = default;

    /// A member is new, or its state or incarnation changed.
    virtual void onMemberChanged(const MemberUpdate&) = 0;

    /// A record of a peer is new or has a higher version. Not called for records that this node published.
    virtual void onRecordChanged(const GossipRecord&) = 0;

    /// The peer at `address` has a higher revision in force than this node.
    virtual void onRevision(uint64_t revision, const std::string& address) = 0;
};

}
