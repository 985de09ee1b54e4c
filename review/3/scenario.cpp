#include <standins/World.h>

#include <set>

using namespace Review;

namespace {

constexpr const char* prefixA = "/pule252/";
constexpr const char* prefixB = "/lohu930/";
constexpr const char* jobA = "7c41e09b52d6a3f8";
constexpr const char* jobB = "e5b2907c14da6f38";
constexpr size_t itemsOfA = 40;
constexpr size_t itemsOfB = 10;
constexpr unsigned long eventsPerItem = 20;

/// The only worker of one service crashes and is lost for good, while a batch job waits for it. A batch job of another
/// service, whose workers are sound and idle, is accepted at the same node.
int play(World& world)
{
    Worker& lost = world.addWorker({ .id = "i-a1", .service = "service-a", .zone = "zone-a" });
    for (size_t n = 1; n <= 5; ++n)
        world.addWorker(
            { .id = "i-b" + std::to_string(n), .service = "service-b", .zone = n % 2 ? "zone-a" : "zone-b" });
    world.configure(7, { World::batchRoute(prefixA, "service-a"), World::batchRoute(prefixB, "service-b") },
        { "service-a", "service-b" });
    if (!world.startNodes())
        return world.failToRun("the nodes are not ready");
    sleepMs(3'000);
    if (world.submit(*world.nodes[0], prefixA, jobA, itemsOfA, eventsPerItem).status != 202)
        return world.failToRun("the first batch job is not accepted");
    sleepMs(1'000);
    if (World::hasTrouble())
        lost.crash();
    // The entry of a worker that is silent for three heartbeats is removed.
    sleepMs(5'000);
    if (World::hasTrouble())
        world.store.remove("servers", lost.options().id);
    if (world.submit(*world.nodes[0], prefixB, jobB, itemsOfB, eventsPerItem).status != 202)
        return world.failToRun("the second batch job is not accepted");
    sleepMs(2'000);
    world.record.add("the traffic ends");
    sleepMs(finishMs);
    // Without the crash, the first batch job may still be at work.
    World::waitFor([&] { return world.running("service-a") == 0; }, 40'000);
    return world.judgeFinished(jobB, itemsOfB, "service-b");
}

}

int main(int argc, char** argv) { runCase(argc, argv, play); }
