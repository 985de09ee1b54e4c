#pragma once

#include <LibMembership/PeerMessage.h>
#include <Schema/Peer.capnp.h>

namespace Chicorydock {

/// Writes a message into its form on the wire. May be called from any thread.
void toSchema(const PeerMessage&, Schema::PeerMessage::Builder);

/// Reads a message from its form on the wire. Throws Error(MalformedRequest) if a field is missing, too long or out of
/// range. May be called from any thread.
PeerMessage fromSchema(Schema::PeerMessage::Reader);

}
