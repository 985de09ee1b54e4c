#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace Chicorydock {

/// Returns the keys of ever longer prefixes of the prompt, shortest first, for `Work::prefixes`. The prefixes end after
/// 256 bytes and then after each doubling, so that a long prompt has few keys. A prompt shorter than 256 bytes has
/// none. Keys of different models differ. May be called from any thread.
std::vector<uint64_t> prefixKeys(std::string_view model, std::string_view prompt);

}
