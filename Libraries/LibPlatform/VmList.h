#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace Chicorydock {

/// One VM in the platform's lagging list.
struct VmEntry {
    enum class Role : uint8_t {
        Entry,
        Endpoint,
    };

    std::string id;
    Role role { Role::Endpoint };
    /// `HOST:PORT` of the RPC port of a node, or of the HTTP port of an endpoint.
    std::string address;
    std::string region;
    std::string failureDomain;
    /// The service that an endpoint belongs to; empty for nodes.
    std::string service;
    bool leaving { false };

    auto operator<=>(const VmEntry&) const = default;
};

/// The platform's list of live and leaving VMs. It lags: use it as a hint only.
///
/// Thread safety: all methods may be called from any thread; they block like those of `TableService`.
class VmList {
public:
    virtual ~VmList() = default;

    /// Returns all VMs. Throws Error(PlatformUnavailable).
    virtual std::vector<VmEntry> list() = 0;
};

}
