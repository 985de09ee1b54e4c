#pragma once

#include <LibConfiguration/Configuration.h>

#include <string>
#include <string_view>

namespace Chicorydock {

/// Parses an operator's declarations in TOML: `[[service]]`, `[[model]]` and `[[workspace]]` with the member names of
/// `Configuration` in snake case. Revision, request id and author stay empty. Throws Error(InvalidConfiguration) with
/// one line for each problem, like `parseSettings()`. Duplicate names, duplicate key digests and models of a service
/// that is not declared are problems, too.
Configuration parseDeclarations(std::string_view text, const std::string& fileName);

}
