#pragma once

#include <LibMembership/PeerMessage.h>

#include <cstddef>

namespace Chicorydock {

/// Returns how many bytes an update or record adds to a message on the wire.
size_t wireSize(const MemberUpdate&);
size_t wireSize(const GossipRecord&);

}
