#pragma once

#include <string>

namespace Chicorydock {

/// Checks the items of a job, one JSON object per line: `{"custom_id", "method", "url", "body"}`. Throws
/// Error(InvalidConfiguration) with one line for each problem: `FILE:LINE: KEY: found ..., expected ...`.
void checkJobItems(const std::string& items, const std::string& fileName);

}
