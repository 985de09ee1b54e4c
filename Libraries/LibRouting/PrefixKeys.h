#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace Chicorydock {

/// Returns the keys of prefixes of the prompt, by increasing length, for `Work::prefixes`. The first prefix has 256
/// bytes and each further one twice as many, so that a long prompt has few keys. A prompt shorter than 256 bytes has
/// none. Keys of different models differ. May be called from any thread.
std::vector<uint64_t> prefixKeys(std::string_view model, std::string_view prompt);

}
