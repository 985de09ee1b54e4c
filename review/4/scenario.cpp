#include <standins/World.h>

using namespace Review;

namespace {

constexpr const char* prefix = "/lohu930/";
constexpr unsigned long eventsPerStream = 30;
constexpr double graceMs = 8'000;
/// Requests that a client sends later than this after the SIGTERM are not excused by the end of the grace time.
constexpr double excusedMs = 3'000;

/// What a client sees of one request on its connection.
struct Exchange {
    double sentAt { 0 };
    double endedAt { 0 };
    bool isComplete { false };
};

/// Sends a request on an open connection and reads its answer.
Exchange request(World& world, int fd, Reader& reader, const std::string& id)
{
    Exchange exchange;
    const std::string target = std::string(prefix) + id + "/" + std::to_string(eventsPerStream);
    exchange.sentAt = now();
    reader.setUntil(now() + 10'000);
    sendAll(fd,
        "POST " + target + " HTTP/1.1\r\nHost: " + World::host + "\r\nRequest-Id: " + id
            + "\r\nModel: m\r\nToken-Count: 540,400\r\nDeadline-Ms: 5000\r\nContent-Length: 2\r\n\r\nhi");
    world.record.add("client sends " + id);
    std::string line;
    Headers headers;
    std::string body;
    const bool hasHead = reader.readLine(line) && reader.readHeaders(headers);
    exchange.isComplete = hasHead && reader.readBody(headers, body);
    exchange.endedAt = now();
    world.record.add(id + " is answered '" + line + "', connection: " + find(headers, "Connection")
        + (exchange.isComplete ? ", whole" : ", NOT whole"));
    return exchange;
}

/// A node is stopped while a client uses a kept connection: a stream that began before the SIGTERM ends, and the client
/// sends its next request on the same connection.
int play(World& world)
{
    world.addWorker({ .id = "i-a1", .service = "service-a", .zone = "zone-a", .eventMs = 125 });
    world.configure(7, { World::streamRoute(prefix, "service-a") }, { "service-a" });
    if (!world.startNodes())
        return world.failToRun("the nodes are not ready");
    sleepMs(3'000);
    Node& stopped = *world.nodes[0];
    const int fd = connectTo(stopped.front());
    Reader reader(fd, 0);
    double stoppedAt = 0;
    std::thread operatorThread([&] {
        sleepMs(400);
        stoppedAt = now();
        if (!World::hasTrouble())
            return;
        stopped.signal(SIGTERM);
        world.record.add(stopped.name() + " gets SIGTERM");
    });
    const Exchange first = request(world, fd, reader, "9c41d07be2a35f68");
    operatorThread.join();
    if (!first.isComplete)
        return world.failToRun("the first stream is not whole");
    const Exchange second = request(world, fd, reader, "5d07b8240a1c9e33");
    ::close(fd);
    sleepMs(500);
    bool hasRun = false;
    for (const Run& it : world.runs.all())
        hasRun = hasRun || it.request == "5d07b8240a1c9e33";
    const bool isJudged = second.sentAt > stoppedAt + excusedMs && second.sentAt < stoppedAt + graceMs
        && second.endedAt < second.sentAt + 5'000;
    return world.verdict(!second.isComplete && hasRun && isJudged,
        "a request that was sent " + std::to_string(static_cast<int>(second.sentAt - stoppedAt))
            + " ms after the SIGTERM was passed on to a worker and is "
            + (second.isComplete ? "answered" : "cut off without a whole answer"));
}

}

int main(int argc, char** argv) { runCase(argc, argv, play); }
