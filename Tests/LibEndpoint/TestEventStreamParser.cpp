#include <LibEndpoint/EventStreamParser.h>

#include <LibCore/Error.h>

#include <catch2/catch.hpp>

using namespace Chicorydock;

// Guards against events that are lost or merged when the network splits them at an arbitrary byte.
TEST_CASE("events are found wherever the bytes are cut")
{
    const QByteArray stream = "data: one\n\n: comment\r\nevent: x\r\ndata:two\r\ndata: lines\r\n\r\nid: 4\n\n\rdata\r\r"
                              "data:  space\n\n";
    const std::vector<QByteArray> expected { "one", "two\nlines", "", " space" };
    for (qsizetype size = 1; size <= stream.size(); ++size) {
        EventStreamParser parser;
        std::vector<QByteArray> events;
        for (qsizetype n = 0; n < stream.size(); n += size) {
            for (const QByteArray& it : parser.feed(stream.mid(n, size)))
                events.push_back(it);
        }
        CAPTURE(size);
        CHECK(events == expected);
        CHECK_FALSE(parser.isInsideEvent());
    }
}

// Guards against an endpoint that makes the node buffer an endless event.
TEST_CASE("an event that is too large is an error")
{
    EventStreamParser parser;
    const QByteArray part = "data: " + QByteArray(400'000, 'x') + '\n';
    parser.feed(part);
    parser.feed(part);
    CHECK_THROWS_AS(parser.feed(part), Error);
}
