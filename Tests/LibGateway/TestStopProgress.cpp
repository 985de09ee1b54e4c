#include <LibGateway/StopProgress.h>

#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

using Stage = StopProgress::Stage;

struct Stop {
    MonotonicTime start { Milliseconds { 1'000'000 } };
    /// Time from the signal until the process handles it.
    Milliseconds delay { 0 };
    StopProgress progress { start, start + delay, Milliseconds { 7'600 }, Milliseconds { 2'300 } };

    std::vector<Stage> at(int milliseconds, const OpenWork& open = {})
    {
        return progress.update(open, start + Milliseconds { milliseconds });
    }
};

}

// Guards against a process that ends while it owes something, and against one that the platform has to kill.
TEST_CASE("a stop ends when nothing is open, after the balancer has stopped sending, and in any case at its end")
{
    Stop idle;
    CHECK(idle.at(0) == std::vector { Stage::JobsReleased });
    CHECK(idle.at(2'299).empty());
    CHECK(idle.at(2'300) == std::vector { Stage::ConnectionsClosed, Stage::Ended });
    CHECK(idle.progress.hasEnded());
    CHECK(idle.at(2'400).empty());

    for (const OpenWork& it : { OpenWork { .requests = 1 }, OpenWork { .peerRequests = 1 },
             OpenWork { .expectingConnections = 1 }, OpenWork { .closingConnections = 1 }, OpenWork { .jobs = 1 } }) {
        Stop busy;
        CHECK_FALSE(StopProgress::isIdle(it));
        CHECK_FALSE(busy.progress.closesConnections(busy.start + Milliseconds { 2'299 }));
        CHECK(busy.progress.closesConnections(busy.start + Milliseconds { 2'300 }));
        busy.at(2'300, it);
        CHECK(busy.at(7'499, it).empty());
        CHECK(busy.at(7'500, it) == std::vector { Stage::ResponsesDue });
        CHECK_FALSE(busy.progress.hasEnded());
        CHECK(busy.at(7'600, it) == std::vector { Stage::Ended });
        CHECK(busy.progress.hasEnded());
    }
}

// Guards against a process that the platform kills amid its last answers because it handled the signal late (LOST).
TEST_CASE("the time of a stop begins with the signal, not when the process handles it")
{
    const OpenWork open { .requests = 1 };
    Stop late { .delay = Milliseconds { 400 } };
    CHECK_FALSE(late.progress.closesConnections(late.start + Milliseconds { 2'699 }));
    CHECK(late.progress.closesConnections(late.start + Milliseconds { 2'700 }));
    CHECK(late.progress.schedule() == StopSchedule(late.start + Milliseconds { 7'600 }));
    late.at(7'599, open);
    CHECK_FALSE(late.progress.hasEnded());
    late.at(7'600, open);
    CHECK(late.progress.hasEnded());

    Stop tooLate { .delay = Milliseconds { 6'000 } };
    tooLate.at(7'600, open);
    CHECK(tooLate.progress.hasEnded());
}
