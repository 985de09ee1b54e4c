#include <LibCore/SeededRandom.h>
#include <LibGateway/SlotScheduler.h>
#include <Tests/Support/SimulatedClock.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <string>
#include <vector>

using namespace Chicorydock;

namespace {

constexpr uint32_t slotCount = 8;

/// Time that work takes at most endpoints.
constexpr std::chrono::duration<double> normal { 1 };

constexpr std::chrono::duration<double> seconds(double count) { return std::chrono::duration<double> { count }; }

void recordMany(EndpointLoadProfile& profile, SimulatedClock& clock, int count, double slowdown, uint32_t load)
{
    for (int n = 0; n < count; ++n) {
        clock.advance(Milliseconds { 50 });
        profile.record(seconds(slowdown), load, load, slotCount, clock.now());
    }
}

/// How the endpoints of the fleet below are chosen.
enum class Policy {
    /// Each endpoint in turn that has a free slot: fixed equal weights.
    EqualWeights,
    LeastLoaded,
    /// The less loaded of two random endpoints.
    TwoChoices,
    Scheduler,
    LearningScheduler,
    /// The learning scheduler, with endpoints that offer no more slots than they take well.
    KnownLimits,
};

/// An endpoint whose work takes `slowness` times the normal time, and longer for each request above `knee`.
struct ModelEndpoint {
    struct Run {
        uint64_t work { 0 };
        MonotonicTime arrivedAt;
        double secondsLeft { 0 };
    };

    std::string id;
    double slowness { 1 };
    uint32_t knee { slotCount };
    uint32_t offeredSlots { slotCount };
    std::vector<Run> running {};

    double rate() const
    {
        // Above the knee, the throughput falls to a third at most.
        const double excess = std::max(0.0, static_cast<double>(running.size()) / knee - 1);
        return 1 / (slowness * (1 + 3 * excess));
    }
};

/// Callers of one service with endpoints of different speed, a third of which slow down above half of their slots.
///
/// Load: random arrivals that need most of what the fleet can do at its best.
class Fleet {
public:
    struct Result {
        size_t arrivals { 0 };
        size_t onTime { 0 };

        double share() const
        {
            return static_cast<double>(onTime) / static_cast<double>(std::max<size_t>(1, arrivals));
        }
    };

    Fleet(Policy policy, uint64_t seed)
        : m_policy(policy)
        , m_random(seed)
        , m_scheduler({ "n", "z", { { "z", "r" } } }, m_random)
    {
        std::vector<EndpointRecord> records;
        for (size_t n = 0; n < endpointCount; ++n) {
            ModelEndpoint endpoint { .id = "e" + std::to_string(n) };
            endpoint.slowness = n % 3 == 1 ? 1.3 : 1;
            endpoint.knee = n % 3 == 2 ? slotCount / 2 : slotCount;
            endpoint.offeredSlots = policy == Policy::KnownLimits ? endpoint.knee : slotCount;
            records.push_back({ endpoint.id, "10.0.0.1:80", "lm", "z", endpoint.offeredSlots, false, 1 });
            m_endpoints.push_back(endpoint);
        }
        m_scheduler.setEndpoints(records);
        m_scheduler.setLearningLoad(policy == Policy::LearningScheduler || policy == Policy::KnownLimits);
    }

    /// Lets requests arrive at that rate.
    void run(std::chrono::seconds duration, double perSecond)
    {
        const MonotonicTime end = m_clock.now() + duration;
        while (m_clock.now() < end) {
            m_clock.advance(step);
            advanceWork();
            for (m_due += perSecond * toSeconds(step) * (0.5 + m_random.unit()); m_due >= 1; m_due -= 1)
                arrive();
            place();
        }
    }

    /// Makes an endpoint slow at any load.
    void slowDown(size_t endpoint, double slowness) { m_endpoints[endpoint].slowness = slowness; }

    size_t runningAt(size_t endpoint) const { return m_endpoints[endpoint].running.size(); }
    void resetResult() { m_result = {}; }
    const Result& result() const { return m_result; }

private:
    static constexpr size_t endpointCount = 12;
    static constexpr Milliseconds step { 5 };
    static constexpr double meanSeconds = 0.8;
    /// A caller is content if the response is complete by then.
    static constexpr Milliseconds target { 2'000 };
    static constexpr Milliseconds deadline { 5'000 };

    bool usesScheduler() const { return m_policy >= Policy::Scheduler; }

    void arrive()
    {
        const uint64_t work = ++m_lastWork;
        ++m_result.arrivals;
        m_arrivals[work] = m_clock.now();
        if (usesScheduler()) {
            OnlineWork request { .id = work, .service = "lm", .startBy = m_clock.now() + target / 2 };
            request.deadline = m_clock.now() + deadline;
            m_scheduler.submit(request, m_clock.now());
        } else {
            m_queue.push_back(work);
        }
    }

    void place()
    {
        if (usesScheduler()) {
            for (const SlotDecision& it : m_scheduler.poll(m_clock.now())) {
                if (it.kind == SlotDecision::Kind::Start)
                    start(it.work, *std::ranges::find(m_endpoints, it.endpoint, &ModelEndpoint::id));
            }
            return;
        }
        while (!m_queue.empty()) {
            ModelEndpoint* endpoint = choose();
            if (!endpoint)
                return;
            start(m_queue.front(), *endpoint);
            m_queue.pop_front();
        }
    }

    ModelEndpoint* choose()
    {
        const auto hasRoom = [](const ModelEndpoint& it) { return it.running.size() < it.offeredSlots; };
        const auto load = [](const ModelEndpoint& it) { return it.running.size(); };
        if (m_policy == Policy::TwoChoices) {
            ModelEndpoint& first = m_endpoints[m_random.below(endpointCount)];
            ModelEndpoint& second = m_endpoints[m_random.below(endpointCount)];
            ModelEndpoint& less = load(first) <= load(second) ? first : second;
            return hasRoom(less) ? &less : nullptr;
        }
        if (m_policy == Policy::LeastLoaded) {
            ModelEndpoint& least = *std::ranges::min_element(m_endpoints, {}, load);
            return hasRoom(least) ? &least : nullptr;
        }
        for (size_t n = 0; n < endpointCount; ++n) {
            ModelEndpoint& next = m_endpoints[m_next++ % endpointCount];
            if (hasRoom(next))
                return &next;
        }
        return nullptr;
    }

    void start(uint64_t work, ModelEndpoint& endpoint)
    {
        const double seconds = meanSeconds * (0.5 + m_random.unit());
        endpoint.running.push_back({ work, m_arrivals.at(work), seconds });
        m_arrivals.erase(work);
    }

    void advanceWork()
    {
        for (ModelEndpoint& endpoint : m_endpoints) {
            const double progress = toSeconds(step) * endpoint.rate();
            for (ModelEndpoint::Run& it : endpoint.running) {
                it.secondsLeft -= progress;
                if (it.secondsLeft > 0)
                    continue;
                m_result.onTime += m_clock.now() - it.arrivedAt <= target ? 1 : 0;
                m_scheduler.finish(it.work, EndpointOutcome::Answered, m_clock.now());
            }
            std::erase_if(endpoint.running, [](const ModelEndpoint::Run& it) { return it.secondsLeft <= 0; });
        }
    }

    const Policy m_policy;
    SeededRandom m_random;
    SimulatedClock m_clock;
    SlotScheduler m_scheduler;
    std::vector<ModelEndpoint> m_endpoints;
    std::map<uint64_t, MonotonicTime> m_arrivals;
    std::deque<uint64_t> m_queue;
    uint64_t m_lastWork { 0 };
    size_t m_next { 0 };
    double m_due { 0 };
    Result m_result;
};

/// Returns the share of requests that are on time when they need nine tenths of what the fleet does at its best.
double onTimeShare(Policy policy, uint64_t seed)
{
    Fleet fleet(policy, seed);
    fleet.run(std::chrono::seconds { 20 }, 80);
    fleet.resetResult();
    fleet.run(std::chrono::seconds { 40 }, 80);
    return fleet.result().share();
}

}

TEST_CASE("an endpoint without samples counts as normal and has no limit")
{
    const EndpointLoadProfile profile;
    const SimulatedClock clock;
    CHECK(profile.slowdown(3, slotCount, normal, clock.now()) == Approx(1));
    CHECK(profile.limit(slotCount, normal, clock.now()) == slotCount);
}

TEST_CASE("values that are no measurement are ignored")
{
    EndpointLoadProfile profile;
    const SimulatedClock clock;
    profile.record(seconds(0), 1, 1, slotCount, clock.now());
    profile.record(seconds(-1), 1, 1, slotCount, clock.now());
    profile.record(seconds(std::nan("")), 1, 1, slotCount, clock.now());
    profile.record(seconds(5), 0, 1, slotCount, clock.now());
    CHECK(profile.slowdown(1, slotCount, normal, clock.now()) == Approx(1));
}

TEST_CASE("the slowdown of an endpoint is learned, by load")
{
    EndpointLoadProfile profile;
    SimulatedClock clock;
    recordMany(profile, clock, 30, 1, 2);
    recordMany(profile, clock, 30, 3, 8);
    CHECK(profile.slowdown(2, slotCount, normal, clock.now()) < 1.3);
    CHECK(profile.slowdown(8, slotCount, normal, clock.now()) > 2.3);
}

TEST_CASE("an endpoint that is equally fast at any load has no limit")
{
    EndpointLoadProfile profile;
    SimulatedClock clock;
    SeededRandom random(GENERATE(1, 2, 3, 4, 5));
    for (int n = 0; n < 4'000; ++n) {
        clock.advance(Milliseconds { 100 });
        const auto load = static_cast<uint32_t>(1 + random.below(slotCount));
        profile.record(seconds(0.3 + 1.4 * random.unit()), load, load, slotCount, clock.now());
        CHECK(profile.limit(slotCount, normal, clock.now()) == slotCount);
    }
}

TEST_CASE("the load from which throughput falls is the limit")
{
    EndpointLoadProfile profile;
    SimulatedClock clock;
    recordMany(profile, clock, 30, 1, 4);
    recordMany(profile, clock, 30, 4, 8);
    CHECK(profile.limit(slotCount, normal, clock.now()) == 4);
}

// Guards against an estimate that keeps an endpoint from its work for good: above the limit nothing is learned any
// more.
TEST_CASE("a limit ends when its evidence is old")
{
    EndpointLoadProfile profile;
    SimulatedClock clock;
    recordMany(profile, clock, 30, 1, 4);
    recordMany(profile, clock, 30, 4, 8);
    clock.advance(std::chrono::minutes { 3 });
    CHECK(profile.limit(slotCount, normal, clock.now()) == slotCount);
    CHECK(profile.slowdown(8, slotCount, normal, clock.now()) < 1.5);
}

// Target: learned limits give callers at least half of what knowing the true ones would, compared with least loaded.
TEST_CASE("callers gain by what is learned about endpoints that slow down before they are full")
{
    const uint64_t seed = GENERATE(1, 2, 3, 4);
    const double equalWeights = onTimeShare(Policy::EqualWeights, seed);
    const double leastLoaded = onTimeShare(Policy::LeastLoaded, seed);
    const double twoChoices = onTimeShare(Policy::TwoChoices, seed);
    const double scheduler = onTimeShare(Policy::Scheduler, seed);
    const double learning = onTimeShare(Policy::LearningScheduler, seed);
    const double known = onTimeShare(Policy::KnownLimits, seed);
    INFO("on time: equal weights " << equalWeights << ", least loaded " << leastLoaded << ", two choices " << twoChoices
                                   << ", scheduler " << scheduler << ", learning " << learning << ", known limits "
                                   << known);
    CHECK(learning >= leastLoaded + (known - leastLoaded) / 2);
    CHECK(learning >= std::max(equalWeights, twoChoices));
    CHECK(learning >= scheduler);
}

TEST_CASE("a change of speed is followed, and the endpoint gets its work back")
{
    Fleet fleet(Policy::LearningScheduler, GENERATE(1, 2, 3));
    fleet.run(std::chrono::seconds { 20 }, 30);
    fleet.slowDown(0, 4);
    fleet.run(std::chrono::seconds { 10 }, 30);
    fleet.resetResult();
    fleet.run(std::chrono::seconds { 10 }, 30);
    CHECK(fleet.result().share() > 0.95);
    fleet.slowDown(0, 1);
    fleet.run(std::chrono::seconds { 30 }, 70);
    CHECK(fleet.runningAt(0) >= 2);
}
