#pragma once

#include <LibGateway/SlotTimeModel.h>

#include <map>
#include <string>

namespace Chicorydock {

/// Learns from finished work how long work of each service holds a slot, and expects this time of work that has not run
/// yet.
///
/// Load: requests and items whose lengths differ by a factor. A mean would let short requests wait as long as long ones
/// and refuse those that can be on time.
///
/// Thread safety: none.
class SlotTimeEstimator {
public:
    void addRequest(const std::string& service, const WorkProfile&, Milliseconds held);
    /// `held` is the total over all runs of the item.
    void addItem(const std::string& service, const WorkProfile&, Milliseconds held);

    /// Returns the mean for an online request, or an assumed one before the first request of the service has ended.
    Milliseconds requestTime(const std::string& service) const;
    /// Returns the expected time of an online request, or an assumed one before the first request of the service has
    /// ended.
    Milliseconds requestTime(const std::string& service, const WorkProfile&) const;
    /// Returns the expected time of an item over all its runs, or 0 before the first item of the service has ended.
    Milliseconds itemTime(const std::string& service, const WorkProfile&) const;

    /// Returns whether an item that starts now can no longer be completed by the time it is due. `slotTimeUsed` is the
    /// time for which its earlier runs held a slot.
    bool isItemTooLate(const std::string& service, const WorkProfile&, MonotonicTime dueAt, Milliseconds slotTimeUsed,
        MonotonicTime now) const;

private:
    using Models = std::map<std::string, SlotTimeModel>;

    /// Returns the model of the service, an empty one if none of its work has ended.
    static const SlotTimeModel& find(const Models&, const std::string& service);

    Models m_requests;
    Models m_items;
};

}
