#pragma once

#include <LibRouting/Scheduler.h>

#include <string>
#include <vector>

namespace Chicorydock {

/// Encodes the summaries of endpoints that a node sends to its peers: 14 bytes for each endpoint, since summaries are
/// most of the bytes that nodes exchange. Endpoints are identified by a 32-bit hash, and durations are rounded to about
/// 1%.
///
/// May be called from any thread.
std::string packSummaries(const std::vector<EndpointSummary>&);

/// Decodes summaries and looks their endpoints up in `knownIds`; summaries of unknown endpoints are left out. Returns
/// an empty list if the text is malformed.
std::vector<EndpointSummary> unpackSummaries(const std::string&, const std::vector<std::string>& knownIds);

}
