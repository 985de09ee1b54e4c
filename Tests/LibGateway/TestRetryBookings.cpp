#include <LibGateway/RetryBookings.h>
#include <Tests/Support/SimulatedClock.h>

#include <catch2/catch.hpp>

#include <set>

using namespace Chicorydock;

namespace {

constexpr RetryBookings::Window window { Milliseconds { 150 }, Milliseconds { 1'600 } };
constexpr Milliseconds slotTime { 400 };

}

// Guards against callers that return faster than slots get free.
TEST_CASE("refused callers return in order, at the rate at which slots get free")
{
    SimulatedClock clock;
    RetryBookings bookings;
    // 4 slots with requests of 400 ms: one gets free every 100 ms.
    for (int n = 0; n < 10; ++n)
        CHECK(bookings.book("lm", slotTime, window, 4, clock.now()) == Milliseconds { 150 + n * 100 });
    CHECK(bookings.book("other", slotTime, window, 4, clock.now()) == Milliseconds { 150 });
    clock.advance(Milliseconds { 300 });
    CHECK(bookings.book("lm", slotTime, window, 4, clock.now()) == Milliseconds { 850 });
}

// Guards against room that stays reserved for callers that did not return.
TEST_CASE("bookings lapse when their time has passed")
{
    SimulatedClock clock;
    RetryBookings bookings;
    for (int n = 0; n < 10; ++n)
        bookings.book("lm", slotTime, window, 4, clock.now());
    clock.advance(Milliseconds { 5'000 });
    CHECK(bookings.book("lm", slotTime, window, 4, clock.now()) == Milliseconds { 150 });
}

// Guards against callers that return while new requests take all slots.
TEST_CASE("slots that new requests ask for are not given to refused callers")
{
    SimulatedClock clock;
    RetryBookings bookings;
    // 10 requests of 400 ms a second need 4 slots, which leaves 4 of 8.
    for (int n = 0; n < 30; ++n) {
        bookings.recordArrival("lm", slotTime, clock.now());
        clock.advance(Milliseconds { 100 });
    }
    bookings.book("lm", slotTime, window, 8, clock.now());
    const Milliseconds second = bookings.book("lm", slotTime, window, 8, clock.now());
    CHECK(second - window.earliest > Milliseconds { 80 });
    CHECK(second - window.earliest < Milliseconds { 130 });
}

// Guards against callers that are told a time that they do not honour, and against their return all together.
TEST_CASE("callers for whom there is no room return at the end of the window, at different times")
{
    SimulatedClock clock;
    RetryBookings bookings;
    std::set<Milliseconds> times;
    for (int n = 0; n < 100; ++n) {
        const Milliseconds time = bookings.book("lm", slotTime, window, 1, clock.now());
        CHECK(time >= window.earliest);
        CHECK(time <= window.latest);
        if (n >= 10)
            times.insert(time);
    }
    CHECK(times.size() > 70);
    CHECK(*times.begin() >= Milliseconds { 1'300 });
}

// Guards against a booking that blocks the line after the capacity has become known.
TEST_CASE("a booking made with one slot does not outlive it")
{
    SimulatedClock clock;
    RetryBookings bookings;
    const RetryBookings::Window window { Milliseconds { 150 }, Milliseconds { 1'600 } };
    for (int n = 0; n < 5; ++n)
        bookings.recordArrival("lm", Milliseconds { 500 }, clock.now());
    bookings.book("lm", Milliseconds { 500 }, window, 1, clock.now());
    clock.advance(Milliseconds { 500 });
    CHECK(bookings.book("lm", Milliseconds { 100 }, window, 576, clock.now()) < Milliseconds { 300 });
}

// Guards against callers who return all at once, because their window is empty.
TEST_CASE("callers of an empty window are spread too")
{
    SimulatedClock clock;
    RetryBookings bookings;
    std::set<Milliseconds> times;
    for (int n = 0; n < 100; ++n)
        times.insert(bookings.book(
            "lm", Milliseconds { 500 }, { Milliseconds { 2'000 }, Milliseconds { 1'600 } }, 1, clock.now()));
    CHECK(times.size() > 50);
}
