#pragma once

#include <LibConfiguration/Configuration.h>

namespace Chicorydock {

/// Throws Error(InvalidConfiguration), which names the item and the field, if an operator may not put the configuration
/// into force. The revision is not checked. May be called from any thread.
void validate(const Configuration&);

}
