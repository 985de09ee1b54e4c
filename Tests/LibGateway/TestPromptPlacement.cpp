#include <LibCore/SeededRandom.h>
#include <LibGateway/SlotScheduler.h>
#include <Tests/Support/SimulatedClock.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

using namespace Chicorydock;

namespace {

WorkProfile makeProfile(uint32_t prompt)
{
    return { .promptTokens = 450, .sharedParts = { { prompt % 8, 100 }, { 1'000 + prompt, 100 } } };
}

/// Engines that keep the latest prompts that they have read, and the requests that they run.
///
/// Load: 60 % of the slots on average. Each of many prompts comes again before an engine forgets it, but not before all
/// engines together have read it.
class Engines {
public:
    struct Result {
        uint64_t sharedTokens { 0 };
        uint64_t readAgain { 0 };
        size_t started { 0 };
        size_t late { 0 };

        double shareReadAgain() const { return static_cast<double>(readAgain) / static_cast<double>(sharedTokens); }
    };

    Engines(bool isPlacingByPrompt, uint64_t seed)
        : m_random(seed)
        , m_scheduler({ "n", "z", { { "z", "r" } } }, m_random)
    {
        std::vector<EndpointRecord> records;
        for (size_t n = 0; n < engineCount; ++n)
            records.push_back({ "e" + std::to_string(n), "10.0.0.1:80", "lm", "z", slotCount, false, 1 });
        m_scheduler.setEndpoints(records);
        m_scheduler.setPlacingByPrompt(isPlacingByPrompt);
    }

    /// `hotShare` of the requests have one of four prompts, the others one of `promptCount`.
    Result run(std::chrono::seconds duration, double hotShare)
    {
        m_result = {};
        const MonotonicTime end = m_clock.now() + duration;
        while (m_clock.now() < end) {
            m_clock.advance(step);
            finishWork();
            for (m_due += arrivalsPerStep * (0.5 + m_random.unit()); m_due >= 1; m_due -= 1)
                arrive(m_random.unit() < hotShare ? m_random.below(4) : m_random.below(promptCount));
            for (const SlotDecision& it : m_scheduler.poll(m_clock.now()))
                start(it);
        }
        return m_result;
    }

    /// Returns the number of engines that keep the prompt.
    size_t keepersOf(uint32_t prompt) const
    {
        return static_cast<size_t>(std::ranges::count_if(
            m_kept, [&](const auto& it) { return std::ranges::find(it.second, prompt) != it.second.end(); }));
    }

private:
    static constexpr size_t engineCount = 15;
    static constexpr uint32_t slotCount = 8;
    static constexpr uint32_t promptCount = 1'200;
    static constexpr size_t keptPrompts = 120;
    static constexpr Milliseconds step { 10 };
    static constexpr Milliseconds duration { 790 };
    static constexpr double arrivalsPerStep = 0.6 * engineCount * slotCount * 10 / 790;
    static constexpr Milliseconds target { 220 };

    struct Run {
        MonotonicTime endsAt;
        uint64_t work { 0 };
    };

    void arrive(uint64_t prompt)
    {
        OnlineWork work { .id = ++m_lastWork, .service = "lm", .startBy = m_clock.now() + target };
        work.deadline = m_clock.now() + std::chrono::seconds { 5 };
        work.profile = makeProfile(static_cast<uint32_t>(prompt));
        m_waiting[work.id] = { static_cast<uint32_t>(prompt), m_clock.now() };
        m_scheduler.submit(work, m_clock.now());
    }

    void start(const SlotDecision& decision)
    {
        const auto [prompt, arrivedAt] = m_waiting.extract(decision.work).mapped();
        if (decision.kind != SlotDecision::Kind::Start)
            return;
        ++m_result.started;
        m_result.late += m_clock.now() - arrivedAt > target ? 1 : 0;
        m_runs.push_back({ m_clock.now() + duration, decision.work });
        std::list<uint32_t>& kept = m_kept[decision.endpoint];
        m_result.sharedTokens += 100;
        const auto known = std::ranges::find(kept, prompt);
        if (known != kept.end())
            kept.erase(known);
        else if (keepersOf(prompt) > 0)
            m_result.readAgain += 100;
        kept.push_back(prompt);
        if (kept.size() > keptPrompts)
            kept.pop_front();
    }

    void finishWork()
    {
        while (!m_runs.empty() && m_runs.front().endsAt <= m_clock.now()) {
            m_scheduler.finish(m_runs.front().work, EndpointOutcome::Answered, m_clock.now());
            m_runs.pop_front();
        }
    }

    SeededRandom m_random;
    SimulatedClock m_clock;
    SlotScheduler m_scheduler;
    std::map<std::string, std::list<uint32_t>> m_kept;
    std::map<uint64_t, std::pair<uint32_t, MonotonicTime>> m_waiting;
    std::deque<Run> m_runs;
    uint64_t m_lastWork { 0 };
    double m_due { 0 };
    Result m_result;
};

}

// Target: under a quarter of the tokens of shared parts are read again, and no request is later for it.
TEST_CASE("requests go where their prompts are kept, and are not later for it")
{
    const uint64_t seed = GENERATE(1, 2, 3);
    Engines spread(false, seed);
    Engines placed(true, seed);
    spread.run(std::chrono::seconds { 30 }, 0);
    placed.run(std::chrono::seconds { 30 }, 0);
    const Engines::Result without = spread.run(std::chrono::seconds { 60 }, 0);
    const Engines::Result with = placed.run(std::chrono::seconds { 60 }, 0);
    INFO("read again " << without.shareReadAgain() << ", placed by prompt " << with.shareReadAgain() << "; late "
                       << without.late << " of " << without.started << ", placed by prompt " << with.late);
    CHECK(without.shareReadAgain() > 0.4);
    CHECK(with.shareReadAgain() < 0.25);
    CHECK(with.late <= without.late);
}

// Guards against requests that queue for the one endpoint that keeps a part while others are idle.
TEST_CASE("a prompt that most requests have is spread over the endpoints")
{
    Engines engines(true, GENERATE(1, 2, 3));
    const Engines::Result result = engines.run(std::chrono::seconds { 30 }, 0.8);
    INFO("late " << result.late << " of " << result.started);
    CHECK(result.late == 0);
    CHECK(engines.keepersOf(0) >= 8);
}

// Guards against items that read the same part again at each endpoint.
TEST_CASE("items go where their prompts are kept")
{
    SeededRandom random(GENERATE(1, 2, 3));
    SimulatedClock clock;
    SlotScheduler scheduler({ "n", "z", { { "z", "r" } } }, random);
    scheduler.setEndpoints(
        { { "a", "10.0.0.1:80", "lm", "z", 8, false, 1 }, { "b", "10.0.0.2:80", "lm", "z", 8, false, 1 } });
    scheduler.setPlacingByPrompt(true);
    std::vector<std::string> endpoints;
    for (uint64_t id = 1; id <= 4; ++id) {
        clock.advance(Milliseconds { 500 });
        BatchWork item { .id = id, .service = "lm", .dueAt = clock.now() + std::chrono::seconds { 18 } };
        item.profile = makeProfile(1);
        scheduler.submit(item);
        scheduler.poll(clock.now());
        clock.advance(Milliseconds { 500 });
        for (const SlotDecision& it : scheduler.poll(clock.now()))
            endpoints.push_back(it.endpoint);
        if (const RunningWork* running = scheduler.findRunning(id))
            endpoints.push_back(running->endpoint);
        scheduler.finish(id, EndpointOutcome::Answered, clock.now());
    }
    REQUIRE(endpoints.size() >= 4);
    CHECK(std::ranges::count(endpoints, endpoints.front()) == static_cast<ptrdiff_t>(endpoints.size()));
}

TEST_CASE("a prompt without a length, or without shared parts, is placed by load alone")
{
    PromptPlacement placement;
    const SimulatedClock clock;
    WorkProfile profile = makeProfile(1);
    placement.record(profile, 7, clock.now());
    CHECK(placement.find(profile, clock.now()).keptShare(7) == Approx(200.0 / 450));
    CHECK(placement.find(profile, clock.now()).keptShare(8) == 0);
    // Only the first part is the same.
    CHECK(placement.find(makeProfile(9), clock.now()).keptShare(7) == Approx(100.0 / 450));
    profile.promptTokens = 0;
    CHECK(placement.find(profile, clock.now()).keptShare(7) == 0);
    CHECK(placement.find({}, clock.now()).keptShare(7) == 0);
}
