#pragma once

#include <LibCore/Clock.h>

#include <map>
#include <string>

namespace Chicorydock {

/// Gives refused callers the times at which slots are expected to get free for them: each caller after all earlier ones
/// of its service, at the rate at which new requests leave slots free. A booking reserves no slot: it only makes later
/// callers wait longer. Callers for whom there is no room in time are told to return as late as they can.
///
/// Load: bursts of requests that the slots cannot serve. Callers that are told random times return together with new
/// requests while the burst lasts, and are too late for the slots that are free after it.
///
/// Thread safety: none.
class RetryBookings {
public:
    /// Earliest and latest time of a booking, from now on.
    struct Window {
        Milliseconds earliest { 0 };
        Milliseconds latest { 0 };
    };

    /// Records a new request, which takes slots from those who return.
    void recordArrival(const std::string& service, Milliseconds slotTime, MonotonicTime now);

    /// Books `slotTime` and returns the time from now on at which it begins, within the window. `slots` is the number
    /// of slots from which callers of this node are served.
    Milliseconds book(
        const std::string& service, Milliseconds slotTime, const Window&, double slots, MonotonicTime now);

    /// Returns a time in the last part of the window, without a booking.
    Milliseconds nextAtEnd(const Window&);

private:
    struct Line {
        /// End of the last booking.
        MonotonicTime bookedUntil;
        /// Slot time of recent requests, which decays with time, as of `updatedAt`.
        double recentMilliseconds { 0 };
        MonotonicTime updatedAt;
        /// Slots at the last booking.
        double slotCount { 0 };
    };

    /// Brings the bookings forward when there are more slots than when they were made: a scheduler that has just
    /// started does not know most endpoints yet.
    static void rescale(Line&, double slots, MonotonicTime now);
    /// Lets the slot time of earlier requests decay until now.
    static void decay(Line&, MonotonicTime now);
    std::map<std::string, Line> m_lines;
    /// Place of the last caller in the part over which `nextAtEnd()` spreads them, from 0 to 1.
    double m_spread { 0 };
};

}
