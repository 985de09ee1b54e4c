#include <LibGateway/EventStreamReader.h>

#include <catch2/catch.hpp>

using namespace Chicorydock;

// Guards against events that are lost, merged or truncated when the stream arrives in other chunks than it was sent in.
TEST_CASE("events do not depend on how the stream is split into chunks")
{
    const QByteArray stream
        = "id: 1\ndata: a\n\nweight-versions: 3\nid: 2\ndata: b\ndata:c\n\nid: 3\r\ndata: d\r\n\r\n";
    for (qsizetype size = 1; size <= stream.size(); ++size) {
        EventStreamReader reader;
        std::vector<StreamEvent> events;
        for (qsizetype n = 0; n < stream.size(); n += size) {
            for (StreamEvent& it : reader.consume(stream.mid(n, size)))
                events.push_back(std::move(it));
        }
        REQUIRE(events.size() == 3);
        CHECK(events[0] == StreamEvent { 1, "a", "id: 1\ndata: a\n\n" });
        CHECK(events[1].id == 2);
        CHECK(events[1].data == "b\nc");
        CHECK(events[2].data == "d");
        CHECK(events[0].bytes + events[1].bytes + events[2].bytes == stream);
        CHECK_FALSE(reader.hasPartialEvent());
    }
}

// Guards against a partial event that reaches a caller when an endpoint stops within it.
TEST_CASE("an incomplete event is not returned")
{
    EventStreamReader reader;
    CHECK(reader.consume("id: 1\ndata: a\n\nid: 2\nda").size() == 1);
    CHECK(reader.hasPartialEvent());
}
