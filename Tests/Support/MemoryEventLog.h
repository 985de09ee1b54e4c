#pragma once

#include <LibLog/EventLog.h>

#include <algorithm>

namespace Chicorydock {

/// An event log that keeps all events in memory. Not thread safe.
class MemoryEventLog final : public EventLog {
public:
    std::vector<Event> events;

    void record(std::string_view subject, std::string_view action, std::string_view id, std::string_view traceId,
        QJsonObject details) override
    {
        events.push_back({ {}, {}, {}, std::string(subject), std::string(action), std::string(id), std::string(traceId),
            std::move(details) });
    }

    std::vector<Event> recent(size_t, std::string_view) const override { return events; }

    size_t count(std::string_view action) const
    {
        return static_cast<size_t>(std::ranges::count(events, action, &Event::action));
    }
};

}
