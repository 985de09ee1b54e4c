#pragma once

#include <LibCore/Clock.h>

#include <optional>
#include <vector>

namespace Chicorydock {

/// Returns the time since which the store has been available without interruption, according to other nodes, or nothing
/// if too few of them reach it. Lets a node that was cut off from the store tell this from an outage of the store.
///
/// `reachableSince` has one entry for each live peer: the time since which the peer has reached the store, or nothing
/// if it does not reach it. May be called from any thread.
std::optional<MonotonicTime> storeAvailableSince(std::vector<std::optional<MonotonicTime>> reachableSince);

}
