#include <LibGateway/StopProgress.h>

#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

using Stage = StopProgress::Stage;

struct Stop {
    MonotonicTime start { Milliseconds { 1'000'000 } };
    StopProgress progress { StopSchedule(start + Milliseconds { 7'600 }), start + Milliseconds { 2'300 } };

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
             OpenWork { .expectingConnections = 1 }, OpenWork { .jobs = 1 } }) {
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
