#include <standins/World.h>

using namespace Review;

namespace {

constexpr const char* prefix = "/pule252/";
constexpr const char* job = "7c41e09b52d6a3f8";
constexpr size_t itemCount = 20;
constexpr unsigned long eventsPerItem = 20;

/// A batch route moves to another service while items wait for the worker of the first one, and that worker is emptied
/// and taken away.
int play(World& world)
{
    Worker& old = world.addWorker({ .id = "i-a1", .service = "service-a", .zone = "zone-a" });
    for (size_t n = 1; n <= 5; ++n)
        world.addWorker(
            { .id = "i-b" + std::to_string(n), .service = "service-b", .zone = n % 2 ? "zone-a" : "zone-b" });
    world.configure(7, { World::batchRoute(prefix, "service-a") }, { "service-a", "service-b" });
    if (!world.startNodes())
        return world.failToRun("the nodes are not ready");
    sleepMs(3'000);
    if (world.submit(*world.nodes[0], prefix, job, itemCount, eventsPerItem).status != 202)
        return world.failToRun("the batch job is not accepted");
    sleepMs(1'000);
    world.configure(9, { World::batchRoute(prefix, "service-b") }, { "service-a", "service-b" });
    if (World::hasTrouble())
        old.drain();
    sleepMs(drainMs + 1'000);
    if (World::hasTrouble())
        old.end();
    world.record.add("the traffic ends");
    sleepMs(finishMs);
    return world.judgeFinished(job, itemCount, "service-b");
}

}

int main(int argc, char** argv) { runCase(argc, argv, play); }
