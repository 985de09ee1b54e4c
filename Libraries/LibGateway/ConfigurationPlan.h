#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Random.h>
#include <LibGateway/ConfigurationOffer.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Chicorydock {

/// Decisions about where the nodes of a deployment read the operator's configuration.
///
/// The load that they answer: a configuration of thousands of routes has about a megabyte, and tens of nodes share one
/// link to the region of the store. If each of them read it there, the link would be full for longer than a
/// configuration may take. So in a large failure domain two nodes, its sources, read it, and the others get it from
/// them over the links of the failure domain.

/// Returns whether a node reads the configuration from the store itself: it is a source, or no source of its failure
/// domain is alive and reaches the store. May be called from any thread.
bool mustFollowStore(bool isSource, const std::vector<ConfigurationOffer>&);

/// Returns an offer that is newer than `version` from one of the nearest peers, chosen at random, or nothing if there
/// is none. `excluded` contains nodes that are not asked. May be called from any thread.
std::optional<ConfigurationOffer> chooseOffer(
    const std::vector<ConfigurationOffer>&, uint64_t version, const std::set<std::string>& excluded, Random&);

/// Returns the time for which a node that starts waits for the offer of a peer before it reads the store. All nodes may
/// start together, after a loss of power, and then none of them is a source yet. In a small deployment nobody waits.
/// `addresses` are those of all nodes, of which some may be gone, and include `own`. May be called from any thread.
Milliseconds storeReadDelay(const std::string& own, const std::set<std::string>& addresses);

}
