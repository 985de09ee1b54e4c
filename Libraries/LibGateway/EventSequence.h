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

    /// Returns whether the endpoint was asked for an earlier place than the end of the stream. Such a run shows whether
    /// the stream is complete, and does not continue it.
    bool isVerification() const { return askedAfter != lastIdBefore; }

    bool operator==(const EventRun&) const = default;
};

/// The events of a stream that several endpoints bring one after the other, and the one rule by which they are joined.
/// The first endpoint numbers its events in ascending order without gaps. Each later one is asked to continue after the
/// last event n, and only such a run continues the stream; it may repeat earlier events first, which are skipped.
///
/// An endpoint that ends its response in order without an event has not shown that the stream is complete, because one
/// that crashes may end in the same way. The next run is asked with n - 1: if it repeats event n and ends in order, the
/// stream is complete. If it brings an event after n, the stream is not, and that event has to come from a run that is
/// asked with n. Endpoints that end without an event after that have failed, but after two of them the end is verified
/// once more, because the one that brought an event may be the faulty one.
///
/// Load: one call for each event of a stream.
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
        /// The event follows the last one, but the endpoint was asked for an earlier place. The stream is not complete,
        /// and the run must be ended: the event has to come from a run that is asked for it.
        NotAsked,
    };

    /// What the end of a response in order shows.
    enum class End : uint8_t {
        /// The stream is complete.
        Complete,
        /// Nothing. The next run is asked to repeat the last event, and the same endpoint may be asked for it.
        Unverified,
        /// The endpoint has not brought what it was asked for.
        Failed,
    };

    /// `lastId` is the last event that was received before, if any.
    explicit EventSequence(std::optional<uint64_t> lastId = {})
        : m_lastId(lastId)
    {
    }

    /// Returns the event after which the next endpoint has to be asked to continue. Empty if it has to begin anew.
    std::optional<uint64_t> resumeAfter() const;

    /// Begins the events of the next endpoint, which is asked to continue after `resumeAfter()`.
    void beginRun();

    /// Returns what the current endpoint was asked for.
    const EventRun& run() const { return m_run; }

    /// Adds the next event of the current endpoint.
    Place add(const StreamEvent&);

    /// Ends the events of the current endpoint, whose response has ended in order and not within an event.
    End endRun();

    /// Returns the number of the last event that continued the stream.
    std::optional<uint64_t> lastId() const { return m_lastId; }

    /// Returns whether another endpoint can continue the stream after its last event. After an event without a number
    /// it cannot, because that event would be missing or come twice.
    bool canBeResumed() const { return !m_endsUnnumbered; }

    /// Returns whether the current endpoint has brought an event that continued the stream.
    bool hasRunAdvanced() const { return m_hasRunAdvanced; }

private:
    /// Number of runs without an event after which a stream of which one endpoint showed that it goes on may be
    /// complete after all.
    static constexpr unsigned maxEmptyRuns = 2;

    /// Returns whether the current run has brought the last event, now or as a repetition.
    bool hasRunReachedEnd() const { return m_hasRunAdvanced || (m_runEvent && m_runEvent->id == m_lastId); }
    /// Returns whether the current run repeats events and has not arrived at the last one.
    bool isRepeating() const;
    /// Returns whether an event with that number may follow in the current run.
    bool isNextInRun(uint64_t id) const;
    Place addUnnumbered();
    /// Places the event after the last one, if the current run was asked for it.
    Place continueStream();

    std::optional<uint64_t> m_lastId;
    EventRun m_run;
    /// Last numbered event of the current run.
    std::optional<StreamEvent> m_runEvent;
    /// Whether the current run has continued the stream.
    bool m_hasRunAdvanced { false };
    /// Whether the last event that continued the stream has no number.
    bool m_endsUnnumbered { false };
    /// Whether the next run has to show whether the stream is complete.
    bool m_verifiesEnd { false };
    /// Whether an endpoint has shown that the stream goes on after its last event, and the number of runs that were
    /// asked for the next event since and brought none.
    bool m_isIncomplete { false };
    unsigned m_emptyRuns { 0 };
};

}
