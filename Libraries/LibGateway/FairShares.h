#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/WorkspaceLimits.h>

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace Chicorydock {

/// Start-time fair queueing between the workspaces that wait for the slots of a service. Work has a tag, the virtual
/// time at which it would start if each workspace had its share of the slots to itself; work with a lower tag is served
/// first. A workspace is charged for work when it starts, so that work that is refused costs it nothing, and what it
/// used while no work had to wait is forgotten.
///
/// Load: one workspace that sends several times its usual requests while slots are scarce. Its surplus waits behind its
/// own work and not in front of others.
///
/// Thread safety: none.
class FairShares {
public:
    /// Sets the weights. Workspaces that are not listed have weight 1.
    void setWorkspaces(const std::vector<WorkspaceLimits>&);

    /// Begins a new order of all work that waits.
    void beginOrder() { ++m_round; }
    /// Returns the tag of the next work of the workspace in the current order.
    double nextTag(const std::string& service, const std::string& workspace, Milliseconds slotTime);

    /// Charges the workspace for work that starts.
    void recordStart(const std::string& service, const std::string& workspace, Milliseconds slotTime);

    /// Forgets what was used of the services for which `isWaiting` returns false.
    template <typename Predicate> void forgetUnless(Predicate isWaiting)
    {
        std::erase_if(m_services, [&](const auto& it) { return !isWaiting(it.first); });
    }

private:
    struct Account {
        /// Virtual time at which the work that has started would end.
        double finish { 0 };
        /// Tag of the next work in the order of `round`.
        double next { 0 };
        uint64_t round { 0 };
    };

    struct Service {
        /// Highest tag of the work that has started.
        double virtualTime { 0 };
        std::unordered_map<std::string, Account> accounts;
    };

    /// Returns the virtual time that the work takes of the workspace's share.
    double costOf(const std::string& workspace, Milliseconds slotTime) const;

    std::unordered_map<std::string, double> m_weights;
    std::map<std::string, Service> m_services;
    uint64_t m_round { 0 };
};

}
