#pragma once

#include <LibConfiguration/Configuration.h>
#include <Schema/Configuration.capnp.h>

namespace Chicorydock {

/// Writes a configuration in its wire format. May be called from any thread.
void toSchema(const Configuration&, Schema::Configuration::Builder);

/// Reads a configuration from its wire format. Throws Error(InvalidConfiguration) if an enumerator is unknown or a
/// list is too long; `validate()` checks the rest. May be called from any thread.
Configuration fromSchema(Schema::Configuration::Reader);

}
