#pragma once

#include <LibRouting/Work.h>

#include <ext/pb_ds/assoc_container.hpp>
#include <ext/pb_ds/tree_policy.hpp>

#include <compare>
#include <functional>
#include <string>
#include <unordered_map>

namespace Chicorydock {

/// Queued online work in the order in which it should start: by deadline and worth, with ageing, and with a fair share
/// for every workspace.
///
/// Every work gets its place once, when it is queued, as a virtual time: its deadline, but no later than the ageing
/// time from now, so that work with a far deadline is overtaken only for that long; earlier for a higher worth; and
/// later for each work of the same workspace that is queued already. Every operation takes logarithmic time.
///
/// Thread safety: none.
class OnlineQueue {
public:
    /// Place of a work in the queue.
    struct Place {
        int64_t virtualTime { 0 };
        WorkId id { 0 };

        auto operator<=>(const Place&) const = default;
    };

    /// Returns where the work would be queued now. `drainInterval` is the predicted time between two starts.
    Place placeOf(const Work&, MonotonicTime::duration drainInterval, MonotonicTime now) const;

    void push(Place, const std::string& workspace);
    void erase(Place, const std::string& workspace);

    bool isEmpty() const { return m_tree.empty(); }
    size_t size() const { return m_tree.size(); }
    size_t workspaces() const { return m_backlog.size(); }

    /// Returns how many works start before that place.
    size_t rank(Place place) const { return m_tree.order_of_key(place); }

    /// Returns the place at that rank. Precondition: `rank < size()`.
    Place at(size_t rank) const { return *m_tree.find_by_order(rank); }

private:
    using Tree = __gnu_pbds::tree<Place, __gnu_pbds::null_type, std::less<>, __gnu_pbds::rb_tree_tag,
        __gnu_pbds::tree_order_statistics_node_update>;

    Tree m_tree;
    std::unordered_map<std::string, size_t> m_backlog;
};

}
