#pragma once

#include <LibRouting/Work.h>

#include <set>
#include <tuple>

namespace Chicorydock {

/// Queued batch work, earliest deadline first; work that gave way to online work goes before others of its deadline.
///
/// Thread safety: none.
class BatchQueue {
public:
    /// Place of a work in the queue: deadline, whether it never ran, id.
    using Place = std::tuple<MonotonicTime, bool, WorkId>;

    /// Queues the work and returns its place.
    Place push(const Work& work, bool hasGivenWay)
    {
        const Place place { work.deadline, !hasGivenWay, work.id };
        m_places.insert(place);
        return place;
    }

    void erase(const Place& place) { m_places.erase(place); }

    bool isEmpty() const { return m_places.empty(); }
    size_t size() const { return m_places.size(); }

    std::set<Place>::const_iterator begin() const { return m_places.begin(); }
    std::set<Place>::const_iterator end() const { return m_places.end(); }

    static WorkId idOf(const Place& place) { return std::get<WorkId>(place); }

private:
    std::set<Place> m_places;
};

}
