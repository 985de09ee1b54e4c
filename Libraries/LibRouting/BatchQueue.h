#pragma once

#include <LibRouting/Work.h>

#include <set>
#include <tuple>

namespace Chicorydock {

/// Queued batch work, earliest deadline first; preempted work precedes other work of the same deadline.
///
/// Thread safety: none.
class BatchQueue {
public:
    /// Sort key: deadline, whether the work was never preempted, id.
    using Key = std::tuple<MonotonicTime, bool, WorkId>;

    /// Queues the work and returns its key.
    Key push(const Work& work, bool wasPreempted)
    {
        const Key key { work.deadline, !wasPreempted, work.id };
        m_keys.insert(key);
        return key;
    }

    void erase(const Key& key) { m_keys.erase(key); }

    bool isEmpty() const { return m_keys.empty(); }
    size_t size() const { return m_keys.size(); }

    std::set<Key>::const_iterator begin() const { return m_keys.begin(); }
    std::set<Key>::const_iterator end() const { return m_keys.end(); }

    static WorkId idOf(const Key& key) { return std::get<WorkId>(key); }

private:
    std::set<Key> m_keys;
};

}
