#pragma once

#include <string>
#include <vector>

namespace Chicorydock {

/// Names of the requests that are as large or as slow as the limits of the configuration allow.
const std::vector<std::string>& limitRequests();

/// Sends that request to the address. Returns whether it is answered with a whole 200.
bool isServedAtLimit(const std::string& name, const std::string& address);

}
