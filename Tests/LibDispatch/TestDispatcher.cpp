#include <LibDispatch/Dispatcher.h>

#include <LibRouting/NaiveScheduler.h>

#include <Tests/Support/SimulatedClock.h>
#include <catch2/catch.hpp>

#include <thread>

using namespace Chicorydock;

// Guards against reading the list of services after it was replaced, which crashed nodes when an operator listed the
// endpoints while they changed.
TEST_CASE("the services may change while other threads read them")
{
    const SimulatedClock clock;
    Dispatcher dispatcher(
        clock, [](const std::string&) { return std::make_unique<NaiveScheduler>(SchedulerSettings {}); }, [] {},
        [](const std::string&, const std::string&) {});
    std::atomic<bool> isDone { false };
    std::vector<std::thread> readers;
    for (int n = 0; n < 4; ++n) {
        readers.emplace_back([&] {
            while (!isDone) {
                dispatcher.views();
                dispatcher.counters();
                dispatcher.summaries();
                dispatcher.poll();
            }
        });
    }
    std::map<std::string, std::vector<SchedulerEndpoint>> services;
    for (int n = 0; n < 300; ++n) {
        const std::string name = "service-" + std::to_string(n % 50);
        services[name] = { { "endpoint-" + std::to_string(n), "d" } };
        dispatcher.setEndpoints({}, services);
    }
    isDone = true;
    for (std::thread& it : readers)
        it.join();
    CHECK(dispatcher.views().size() == 50);
}
