#pragma once

#include <QByteArray>

#include <cstdint>
#include <string>
#include <string_view>

namespace Chicorydock {

/// Returns the SHA-256 digest of `text` as `sha256Bytes` bytes. May be called from any thread.
QByteArray sha256(std::string_view text);
constexpr qsizetype sha256Bytes = 32;

/// Returns the SHA-256 digest of `text` as 64 hexadecimal digits. May be called from any thread.
std::string sha256Hex(std::string_view text);

/// Returns a 64-bit hash that is stable across processes and versions, for rendezvous hashing and prefix keys.
/// May be called from any thread.
uint64_t stableHash(std::string_view text, uint64_t seed = 0);

}
