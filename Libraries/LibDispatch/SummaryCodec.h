#pragma once

#include <LibRouting/Scheduler.h>

#include <string>
#include <vector>

namespace Chicorydock {

/// Packs what a node tells its peers about its endpoints: 14 bytes for each endpoint, since summaries are most of the
/// bytes that nodes exchange. Endpoints are named by a 32-bit hash, and speeds are rounded to about 1%.
///
/// May be called from any thread.
std::string packSummaries(const std::vector<EndpointSummary>&);

/// Unpacks summaries and finds the endpoints among `knownIds`; those of unknown endpoints are left out. Returns nothing
/// if the text is malformed.
std::vector<EndpointSummary> unpackSummaries(const std::string&, const std::vector<std::string>& knownIds);

}
