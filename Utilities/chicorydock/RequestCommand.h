#pragma once

#include <Utilities/chicorydock/Commands.h>

namespace Chicorydock {

/// Runs `route explain FILE`: prints where the request in the file would go now, and why. Throws ToolFailure or Error.
void runExplainRequest(CommandContext&);

}
