#pragma once

#include <LibCore/Clock.h>

#include <map>
#include <string>

namespace Chicorydock {

/// Learns from finished work how long work of each service holds a slot.
///
/// Thread safety: none.
class HoldTimeEstimator {
public:
    void addRequest(const std::string& service, Milliseconds held);
    /// `held` is the total over all runs of the item.
    void addItem(const std::string& service, Milliseconds held);

    /// Returns the mean for an online request, or an assumed one before the first request of the service has ended.
    Milliseconds requestTime(const std::string& service) const;
    /// Returns the mean for an item, or 0 before the first item of the service has ended.
    Milliseconds itemTime(const std::string& service) const;

    /// Returns whether an item that starts now can no longer be completed by the time it is due. `slotTimeUsed` is the
    /// time for which its earlier runs held a slot.
    bool isItemTooLate(
        const std::string& service, MonotonicTime dueAt, Milliseconds slotTimeUsed, MonotonicTime now) const;

private:
    using Means = std::map<std::string, Milliseconds>;

    /// Updates the moving average of a service.
    static void add(Means&, const std::string& service, Milliseconds held);
    static Milliseconds find(const Means&, const std::string& service, Milliseconds fallback);

    Means m_requests;
    Means m_items;
};

}
