#pragma once

#include <LibCore/HybridLogicalClock.h>

#include <QJsonObject>

#include <string>
#include <string_view>
#include <vector>

namespace Chicorydock {

/// One entry of the timeline.
struct Event {
    HybridTime time;
    std::string node;
    std::string failureDomain;
    /// Kind of object that the event is about: `request`, `job`, `chunk`, `endpoint`, `order`, `revision`, `lease`,
    /// `member`, `node`.
    std::string subject;
    /// What happened, for example `accepted`, `dispatched`, `finished`.
    std::string action;
    /// Identifier of the request, job, endpoint and so on.
    std::string id;
    std::string traceId;
    QJsonObject details;

    bool operator==(const Event&) const = default;
};

/// Records the events of a process for the timeline of all processes.
///
/// Thread safety: all methods may be called from any thread; they do not block on file I/O.
class EventLog {
public:
    virtual ~EventLog() = default;

    /// Records an event; the log adds time, node and failure domain.
    virtual void record(std::string_view subject, std::string_view action, std::string_view id,
        std::string_view traceId = {}, QJsonObject details = {})
        = 0;

    /// Returns the newest events, oldest first, at most `limit`; `id` filters by identifier or trace id if not empty.
    /// The identifier of a job also selects its chunks and items, `ID/NUMBER`.
    virtual std::vector<Event> recent(size_t limit, std::string_view id = {}) const = 0;
};

}
