#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

namespace Chicorydock {

/// Shares out the memory of the machine. A sixth each is for requests and for responses, apart from each other, so that
/// bodies that arrive without end keep no request that is in progress from its response. The process grows by almost
/// twice that, because the allocator keeps more than the buffers take. The rest is for the idle process, what it knows
/// about the deployment, the heads and buffers of its connections, and bytes that the kernel has received.
///
/// Load: faulty endpoints that send bytes without end, callers that do not read, and many large bodies at once.
///
/// Thread safety: immutable.
struct MemoryShares {
    /// Limits on the bytes of all requests that are arriving or in progress, and of all responses that are not complete
    /// or that callers have not taken.
    size_t requestBytes { 0 };
    size_t responseBytes { 0 };

    /// Returns the shares of a machine with that many megabytes.
    static constexpr MemoryShares of(uint64_t memoryMb)
    {
        constexpr size_t megabyte = 1024 * 1024;
        constexpr size_t parts = 6;
        const size_t part = static_cast<size_t>(memoryMb) * megabyte / parts;
        return { .requestBytes = part, .responseBytes = part };
    }

    auto operator<=>(const MemoryShares&) const = default;
};

}
