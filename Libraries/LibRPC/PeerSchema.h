#pragma once

#include <LibMembership/PeerMessage.h>
#include <Schema/Peer.capnp.h>

namespace Chicorydock {

/// Encodes a message for the wire. May be called from any thread.
void toSchema(const PeerMessage&, Schema::PeerMessage::Builder);

/// Decodes a message from the wire. Throws Error(MalformedRequest) if a field is missing, too long or out of range. May
/// be called from any thread.
PeerMessage fromSchema(Schema::PeerMessage::Reader);

}
