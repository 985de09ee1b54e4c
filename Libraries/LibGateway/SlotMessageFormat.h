#pragma once

#include <LibGateway/SlotMessages.h>
#include <Schema/Load.capnp.h>

namespace Chicorydock {

/// Conversions between the slot messages and their Cap'n Proto form. Decoding throws kj::Exception for malformed input.
/// May be called from any thread.
void writeSlotReport(const SlotReport&, Schema::SlotReport::Builder);
SlotReport readSlotReport(Schema::SlotReport::Reader);
void writeSlotReply(const SlotReply&, Schema::SlotReply::Builder);
SlotReply readSlotReply(Schema::SlotReply::Reader);

}
