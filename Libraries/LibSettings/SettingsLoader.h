#pragma once

#include <LibSettings/Settings.h>

#include <string>
#include <string_view>

namespace Chicorydock {

/// Reads the settings from TOML text. The keys are the member names of `Settings` in snake case; durations are whole
/// milliseconds. `fileName` is used in messages only. May be called from any thread.
///
/// Throws Error(InvalidConfiguration) with one line for each unknown key, wrong type, value out of range, malformed
/// address and missing required key: `FILE:LINE: KEY: found ..., expected ...`.
Settings parseSettings(std::string_view text, const std::string& fileName);

/// Like `parseSettings()`, from a file. Also throws Error(InvalidConfiguration) if the file cannot be read.
Settings loadSettings(const std::string& path);

/// Sets `gateway.memory_mb` to a number from the command line, which may have a fraction; without a gateway, it is only
/// checked. Throws Error(InvalidConfiguration) if it is no number or out of range.
void setMemory(Settings&, const std::string& megabytes);

/// Like `setMemory()`, for `gateway.max_descriptors`.
void setMaxDescriptors(Settings&, const std::string& count);

}
