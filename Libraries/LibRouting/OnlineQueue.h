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
/// Work gets its key, a virtual start time, once, when it is queued. The key is the deadline, but no later than the
/// ageing time from now, so that work with a distant deadline is overtaken only for that long. A higher worth makes the
/// key earlier, and each work of the same workspace that is already queued makes it later. Every operation takes
/// logarithmic time.
///
/// Thread safety: none.
class OnlineQueue {
public:
    /// Sort key of queued work.
    struct Key {
        int64_t virtualTime { 0 };
        WorkId id { 0 };

        auto operator<=>(const Key&) const = default;
    };

    /// Returns the key that the work would get now. `drainInterval` is the predicted time between two starts.
    Key keyFor(const Work&, MonotonicTime::duration drainInterval, MonotonicTime now) const;

    void push(Key, const std::string& workspace);
    void erase(Key, const std::string& workspace);

    bool isEmpty() const { return m_tree.empty(); }
    size_t size() const { return m_tree.size(); }
    size_t workspaces() const { return m_backlog.size(); }

    /// Returns how many queued works start before that key.
    size_t rank(Key key) const { return m_tree.order_of_key(key); }

    /// Returns the key at that rank. Precondition: `rank < size()`.
    Key at(size_t rank) const { return *m_tree.find_by_order(rank); }

private:
    using Tree = __gnu_pbds::tree<Key, __gnu_pbds::null_type, std::less<>, __gnu_pbds::rb_tree_tag,
        __gnu_pbds::tree_order_statistics_node_update>;

    Tree m_tree;
    std::unordered_map<std::string, size_t> m_backlog;
};

}
