#include "StreamFixture.h"

#include <catch2/catch.hpp>

using namespace Chicorydock;
using Phase = HttpFailure::Phase;

namespace {

QByteArray event(int id) { return ForwardingFixture::event(id); }

/// The lines of the log that say that a run continued a text that had events.
std::vector<QJsonObject> resumptions(const MemoryEventLog& log)
{
    std::vector<QJsonObject> lines;
    for (const Event& it : log.events) {
        if (it.action == "resumed")
            lines.push_back(it.details);
    }
    return lines;
}

}

// Guards against a log that does not show which run continued a text, and what that run was asked for (ORDER).
TEST_CASE("the log tells what a run that continues a stream or an item was asked for, once a run")
{
    std::vector<QJsonObject> lines;
    SECTION("stream")
    {
        play([&](StreamFixture& it, SimulatedEventLoop&) {
            it.breakOff(Begun::Sent);
            CHECK(resumptions(it.log).empty());
            it.respond({ 200, streamHeaders(), event(2) + event(3) + event(4) });
            lines = resumptions(it.log);
        });
    }
    SECTION("item")
    {
        playItem([&](ItemFixture& it) {
            it.breakOff();
            CHECK(resumptions(it.log).empty());
            it.respond({ 200, streamHeaders(), event(2) + event(3) + event(4) });
            lines = resumptions(it.log);
        });
    }
    REQUIRE(lines.size() == 1);
    CHECK(lines[0]["asked_after"].toInt() == 2);
    CHECK(lines[0]["first_event"].toInt() == 2);
    CHECK(lines[0]["last_event"].toInt() == 2);
    CHECK_FALSE(lines[0]["endpoint"].toString().isEmpty());
}
