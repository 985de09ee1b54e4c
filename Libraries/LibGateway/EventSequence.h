#pragma once

#include <LibGateway/EventStreamReader.h>

#include <QByteArray>

#include <cstdint>
#include <optional>

namespace Chicorydock {

/// What one endpoint was asked for, and with which of its events it began.
struct EventRun {
    /// Event after which the endpoint was asked to continue. Empty if it was asked to begin anew.
    std::optional<uint64_t> askedAfter;
    /// First numbered event that the endpoint brought.
    std::optional<uint64_t> firstId;
    /// Last event of the stream when the run began.
    std::optional<uint64_t> lastIdBefore;

    bool operator==(const EventRun&) const = default;
};

/// The events of a stream that several endpoints bring one after the other. The first one numbers its events in
/// ascending order without gaps; each of the others repeats some of them or none, and continues after the last one.
///
/// Thread safety: none.
class EventSequence final {
public:
    enum class Place : uint8_t {
        /// The event continues the stream.
        New,
        /// The event has been received before.
        Repeated,
        /// An event is missing before this one, or it belongs to another stream.
        OutOfOrder,
    };

    /// `lastId` is the last event that was received before, if any.
    explicit EventSequence(std::optional<uint64_t> lastId = {})
        : m_lastId(lastId)
    {
    }

    /// Begins the events of the next endpoint. `askedAfter` is the event after which it is asked to continue, if any.
    void beginRun(std::optional<uint64_t> askedAfter);

    /// Returns what the current endpoint was asked for.
    const EventRun& run() const { return m_run; }

    /// Adds the next event of the current endpoint.
    Place add(const StreamEvent&);

    /// Returns the number of the last event that continued the stream.
    std::optional<uint64_t> lastId() const { return m_lastId; }

    /// Returns whether another endpoint can continue the stream after its last event. After an event without a number
    /// it cannot, because that event would be missing or come twice.
    bool canBeResumed() const { return !m_endsUnnumbered; }

    /// Returns whether the current endpoint has brought an event that continued the stream.
    bool hasRunAdvanced() const { return m_hasRunAdvanced; }

    /// Returns whether the current endpoint has brought the last event, now or as a repetition. If it has not, the end
    /// of its response does not show that the stream is complete, because an endpoint that crashes may end in the same
    /// way.
    bool hasRunReachedEnd() const { return m_hasRunAdvanced || (m_runEvent && m_runEvent->id == m_lastId); }

    /// Returns the event after which the next endpoint has to resume so that it repeats the last event, or 0 to begin
    /// anew.
    uint64_t idBeforeLast() const { return m_lastId.value_or(0) > 0 ? *m_lastId - 1 : 0; }

private:
    /// Returns whether the current run repeats events and has not arrived at the last one.
    bool isRepeating() const { return m_runEvent && m_runEvent->id < m_lastId; }
    /// Returns whether an event with that number may follow in the current run.
    bool isNextInRun(uint64_t id) const;

    std::optional<uint64_t> m_lastId;
    EventRun m_run;
    /// Last numbered event of the current run.
    std::optional<StreamEvent> m_runEvent;
    /// Whether the current run has continued the stream.
    bool m_hasRunAdvanced { false };
    /// Whether the last event that continued the stream has no number.
    bool m_endsUnnumbered { false };
};

}
