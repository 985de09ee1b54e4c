#include <standins/World.h>

using namespace Review;

namespace {

constexpr const char* prefix = "/pule252/";
constexpr const char* firstJob = "7c41e09b52d6a3f8";
constexpr const char* endedJob = "e5b2907c14da6f38";
/// Part of the call by which a node waits for changes of batch jobs.
constexpr const char* feed = "rows-feed?table=job&";

/// One open connection between a node and the store goes silent, while the others and new ones work: the one on which
/// the node waits for changes of batch jobs. Right after that, a client ends a batch job of this node, whose items
/// still wait, at another node.
int play(World& world)
{
    world.addWorker({ .id = "i-a1", .service = "service-a", .zone = "zone-a" });
    world.configure(7, { World::batchRoute(prefix, "service-a") }, { "service-a" });
    Proxy proxy(world.store.address());
    if (!world.startNodes(proxy.address()))
        return world.failToRun("the nodes are not ready");
    sleepMs(3'000);
    // Three items of 5.5 s take the slots for batch work; the second batch job waits behind them.
    if (world.submit(*world.nodes[0], prefix, firstJob, 3, 55).status != 202
        || world.submit(*world.nodes[0], prefix, endedJob, 9, 20).status != 202)
        return world.failToRun("the batch jobs are not accepted");
    // The node asks for further changes soon after it has heard of the second batch job.
    sleepMs(1'000);
    const double since = now();
    if (!World::waitFor([&] { return proxy.hasPassed(feed, since); }, 4'500))
        return world.failToRun("the node does not ask for changes of batch jobs");
    sleepMs(30);
    const double silentAt = now();
    if (World::hasTrouble())
        world.record.add(std::to_string(proxy.silence(feed)) + " connections to the store go silent");
    if (!world.endJob(*world.nodes[1], endedJob))
        return world.failToRun("the end is not acknowledged");
    const double acknowledgedAt = now();
    sleepMs(12'000);
    size_t late = 0;
    for (const Run& it : world.runs.all()) {
        const bool isInTouch = it.beganAt > silentAt + contactMs;
        if (it.request.starts_with(endedJob) && it.beganAt > acknowledgedAt + cancelMs && isInTouch)
            ++late;
    }
    return world.verdict(late > 0,
        std::to_string(late) + " items of an ended batch job reached a worker later than cancel_ms after the "
            + "acknowledgement, from a machine in touch, and ran");
}

}

int main(int argc, char** argv) { runCase(argc, argv, play); }
