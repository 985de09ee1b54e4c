#pragma once

#include <compare>
#include <cstdint>
#include <unordered_map>

namespace Chicorydock {

/// What an allocator of slots reports about a workspace with a rate limit.
struct ReportedQuota {
    /// Requests that the allocator has charged, less those that it has given back, counted since its start. Wraps.
    uint32_t charged { 0 };
    /// Tokens in its bucket, -1 if there are none or if it has not counted for long enough to know, -2 if its process
    /// has just started, so that all its charges are recent.
    int32_t level { -1 };

    auto operator<=>(const ReportedQuota&) const = default;
};

/// Reports by `WorkspaceQuota::key()`.
using ReportedQuotas = std::unordered_map<uint64_t, ReportedQuota>;

}
