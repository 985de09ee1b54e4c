#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace Chicorydock {

/// A timer queue: functions to call at given times. The owner's event loop calls `tick()`.
///
/// Thread safety: none; use it from one thread only.
class DeadlineQueue {
public:
    using Id = uint64_t;

    /// Adds a function to be called by the first `tick()` at or after `time`.
    Id add(MonotonicTime time, std::function<void()>);

    /// Removes a function; unknown ids are ignored.
    void remove(Id);

    /// Calls the functions that are due, in the order of their times. They may add and remove others.
    void tick(MonotonicTime now);

    /// Returns the time of the earliest function, or nothing if the queue is empty.
    std::optional<MonotonicTime> next() const;

private:
    using Key = std::pair<MonotonicTime, Id>;

    std::map<Key, std::function<void()>> m_functions;
    std::map<Id, MonotonicTime> m_times;
    Id m_lastId { 0 };
};

}
