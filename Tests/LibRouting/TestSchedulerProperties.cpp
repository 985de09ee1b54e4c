#include <LibCore/SeededRandom.h>
#include <LibRouting/LearnedScheduler.h>
#include <Tests/Support/SimulatedClock.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

using namespace Chicorydock;

namespace {

constexpr uint64_t propertySeed = 20'261;

/// A reference model of the allowed decisions: it tracks every work in a map and checks each decision against it.
class SchedulerModel {
public:
    explicit SchedulerModel(const std::vector<uint32_t>& numbers)
        : m_numbers(numbers)
        , m_scheduler(settings(), m_random)
    {
        changeEndpoints();
        poll();
    }

    void run()
    {
        while (m_position < m_numbers.size()) {
            step();
            poll();
        }
        drain();
    }

private:
    struct Tracked {
        Work work;
        enum class State {
            Queued,
            InFlight,
            Ended,
        } state { State::Queued };
        /// Running attempts by endpoint; true once cancelled.
        std::map<std::string, bool> attempts;
        std::set<std::string> excluded;
        size_t starts { 0 };
        bool isWithdrawn { false };

        bool isOnline() const { return work.workClass == WorkClass::Online; }
    };

    static SchedulerSettings settings()
    {
        SchedulerSettings settings;
        settings.failureDomain = "a";
        settings.initialConcurrency = 3;
        settings.maxOnlineQueued = 20;
        return settings;
    }

    // Returns the next number below `bound`, or 0 after the last one.
    uint32_t pick(uint32_t bound) { return m_position < m_numbers.size() ? m_numbers[m_position++] % bound : 0; }

    void step()
    {
        switch (pick(12)) {
        case 0:
        case 1:
        case 2:
            submit(WorkClass::Online);
            break;
        case 3:
        case 4:
            submit(WorkClass::Batch);
            break;
        case 5:
        case 6:
            finishOne();
            break;
        case 7:
            reportTokens();
            break;
        case 8:
            withdraw();
            break;
        case 9:
            m_clock.advance(Milliseconds { pick(4) * pick(400) });
            break;
        case 10:
            changeEndpoints();
            break;
        default:
            simulatePeer();
        }
    }

    void submit(WorkClass workClass)
    {
        Tracked it;
        it.work.id = ++m_lastId;
        it.work.workClass = workClass;
        it.work.model = pick(2) ? "m" : "n";
        it.work.workspace = pick(2) ? "w" : "v";
        it.work.promptTokens = pick(300);
        it.work.maxTokens = 16;
        it.work.worth = 1 + pick(4);
        it.work.deadline = m_clock.now() + Milliseconds { 50 + pick(20'000) };
        it.work.repeatable = pick(4) != 0;
        if (pick(5) == 0)
            it.work.excludedEndpoints.push_back("e" + std::to_string(pick(5)));
        it.excluded.insert(it.work.excludedEndpoints.begin(), it.work.excludedEndpoints.end());
        m_knownEndpoints.insert(it.excluded.begin(), it.excluded.end());
        m_tracked[m_lastId] = it;
        m_scheduler.submit(it.work, m_clock.now());
    }

    std::vector<std::pair<WorkId, std::string>> allAttempts() const
    {
        std::vector<std::pair<WorkId, std::string>> list;
        for (const auto& [id, it] : m_tracked) {
            for (const auto& [endpoint, isCancelled] : it.attempts)
                list.emplace_back(id, endpoint);
        }
        return list;
    }

    void finishOne()
    {
        const auto attempts = allAttempts();
        if (attempts.empty())
            return;
        const auto& [id, endpoint] = attempts[pick(static_cast<uint32_t>(attempts.size()))];
        const auto outcome = static_cast<AttemptOutcome>(pick(4));
        finish(id, endpoint, outcome, pick(3) != 0);
    }

    void finish(WorkId id, const std::string& endpoint, AttemptOutcome outcome, bool mayRetry)
    {
        Tracked& it = m_tracked.at(id);
        const bool wasCancelled = it.attempts.at(endpoint);
        const bool wasQueued = it.state == Tracked::State::Queued;
        it.attempts.erase(endpoint);
        const bool isQueued = m_scheduler.finishAttempt(id, endpoint, outcome, mayRetry, m_clock.now());
        const bool hasFailed = outcome == AttemptOutcome::Failed || outcome == AttemptOutcome::Refused;
        if (isQueued && !wasQueued) {
            RC_ASSERT(it.state == Tracked::State::InFlight);
            RC_ASSERT(it.work.repeatable);
            RC_ASSERT(!it.isWithdrawn);
            if (it.isOnline()) {
                RC_ASSERT(hasFailed);
                RC_ASSERT(mayRetry);
                it.excluded.insert(endpoint);
            } else {
                RC_ASSERT(wasCancelled);
                RC_ASSERT(outcome != AttemptOutcome::Completed);
            }
            it.state = Tracked::State::Queued;
            return;
        }
        if (isQueued || it.state == Tracked::State::Ended)
            return;
        const bool runsElsewhere = std::ranges::any_of(it.attempts, [](const auto& other) { return !other.second; });
        if (outcome == AttemptOutcome::Completed || !runsElsewhere)
            it.state = Tracked::State::Ended;
    }

    void reportTokens()
    {
        const auto attempts = allAttempts();
        if (attempts.empty())
            return;
        const auto& [id, endpoint] = attempts[pick(static_cast<uint32_t>(attempts.size()))];
        m_scheduler.recordTokens(id, endpoint, 1 + pick(2), m_clock.now());
    }

    void withdraw()
    {
        const WorkId id = 1 + pick(static_cast<uint32_t>(m_lastId + 1));
        m_scheduler.withdraw(id, m_clock.now());
        const auto it = m_tracked.find(id);
        if (it == m_tracked.end())
            return;
        it->second.isWithdrawn = true;
        if (it->second.state == Tracked::State::Queued)
            it->second.state = Tracked::State::Ended;
    }

    void changeEndpoints()
    {
        m_endpoints.clear();
        std::vector<SchedulerEndpoint> list;
        for (uint32_t n = 0; n < 5; ++n) {
            if (pick(6) == 5)
                continue;
            SchedulerEndpoint it { "e" + std::to_string(n), n == 3 ? "b" : "a", n == 4, pick(5) == 4, n != 2, {} };
            if (n == 1)
                it.models = { "m" };
            list.push_back(it);
            m_endpoints[it.id] = it;
            m_knownEndpoints.insert(it.id);
        }
        m_scheduler.setEndpoints(list, m_clock.now());
    }

    void simulatePeer()
    {
        const std::string endpoint = "e" + std::to_string(pick(5));
        if (pick(3) == 0) {
            m_scheduler.yieldBatch(endpoint, m_clock.now());
            return;
        }
        const double gap = pick(2) ? 0.012 : 0;
        m_peerOnline.clear();
        const uint32_t online = pick(4);
        // The scheduler ignores summaries of endpoints that it has never seen.
        if (m_knownEndpoints.contains(endpoint))
            m_peerOnline[endpoint] = online;
        m_peerSummaryAt = m_clock.now();
        m_scheduler.recordPeerSummary("peer", { { endpoint, online, pick(3), 0.05, gap, gap / 20 } }, m_clock.now());
    }

    bool mayRun(const Tracked& it, const std::string& endpoint) const
    {
        const auto found = m_endpoints.find(endpoint);
        if (found == m_endpoints.end() || found->second.isLeaving || it.excluded.contains(endpoint))
            return false;
        const auto& models = found->second.models;
        return (models.empty() || models.front() == it.work.model) && !it.attempts.contains(endpoint);
    }

    size_t running(const std::string& endpoint, std::optional<WorkClass> workClass = {}) const
    {
        size_t n = 0;
        for (const auto& [id, it] : m_tracked) {
            const auto attempt = it.attempts.find(endpoint);
            if (attempt != it.attempts.end() && !attempt->second && (!workClass || it.work.workClass == *workClass))
                ++n;
        }
        return n;
    }

    void poll()
    {
        if (m_clock.now() - m_peerSummaryAt > settings().peerSummaryLifetime)
            m_peerOnline.clear();
        std::map<std::string, uint32_t> limits;
        for (const EndpointView& it : m_scheduler.view(m_clock.now()))
            limits[it.endpoint.id] = it.limit;
        const auto decisions = m_scheduler.poll(m_clock.now());
        std::set<std::string> batchStarts;
        for (const Decision& decision : decisions)
            check(decision, limits, batchStarts);
        for (const std::string& endpoint : batchStarts) {
            for (const auto& [id, it] : m_tracked)
                RC_ASSERT(it.state != Tracked::State::Queued || !it.isOnline() || !mayRun(it, endpoint));
        }
        checkCounters();
        RC_ASSERT(m_scheduler.poll(m_clock.now()).empty());
    }

    void check(
        const Decision& decision, const std::map<std::string, uint32_t>& limits, std::set<std::string>& batchStarts)
    {
        RC_ASSERT(m_tracked.contains(decision.work));
        Tracked& it = m_tracked.at(decision.work);
        if (decision.kind == Decision::Kind::Refuse) {
            RC_ASSERT(it.state == Tracked::State::Queued);
            RC_ASSERT(decision.error.has_value());
            RC_ASSERT(decision.error->retryAfter().has_value());
            it.state = Tracked::State::Ended;
            ++m_refused;
            return;
        }
        if (decision.kind == Decision::Kind::Cancel) {
            RC_ASSERT(it.attempts.contains(decision.endpoint));
            RC_ASSERT(!it.attempts[decision.endpoint]);
            RC_ASSERT(it.isOnline() || it.work.repeatable);
            it.attempts[decision.endpoint] = true;
            return;
        }
        RC_ASSERT(it.state != Tracked::State::Ended);
        RC_ASSERT(!it.isWithdrawn);
        RC_ASSERT(mayRun(it, decision.endpoint));
        RC_ASSERT(it.work.repeatable || it.starts == 0);
        RC_ASSERT(it.work.deadline > m_clock.now());
        ++it.starts;
        it.attempts[decision.endpoint] = false;
        it.state = Tracked::State::InFlight;
        // A suspect endpoint may be probed with one attempt whatever its limit is.
        const uint32_t limit = limits.at(decision.endpoint);
        const bool isProbe = running(decision.endpoint) == 1;
        if (it.isOnline()) {
            const size_t online = running(decision.endpoint, WorkClass::Online) + m_peerOnline[decision.endpoint];
            RC_ASSERT(isProbe || online <= limit);
            return;
        }
        RC_ASSERT(m_endpoints.at(decision.endpoint).ownsBatch);
        RC_ASSERT(!m_endpoints.at(decision.endpoint).isRemote);
        const size_t online = running(decision.endpoint, WorkClass::Online) + m_peerOnline[decision.endpoint];
        const size_t total = running(decision.endpoint) + m_peerOnline[decision.endpoint];
        // Without online work, batch work may exceed the limit that follows from the token gap, but not the absolute
        // one.
        RC_ASSERT(isProbe || total <= (online > 0 ? limit : std::min(settings().maxConcurrency, 4 * limit)));
        batchStarts.insert(decision.endpoint);
    }

    void checkCounters()
    {
        SchedulerCounters expected;
        for (const auto& [id, it] : m_tracked) {
            if (it.state == Tracked::State::Queued)
                ++(it.isOnline() ? expected.onlineQueued : expected.batchQueued);
            for (const auto& [endpoint, isCancelled] : it.attempts) {
                if (!isCancelled)
                    ++(it.isOnline() ? expected.onlineInFlight : expected.batchInFlight);
            }
        }
        const SchedulerCounters counters = m_scheduler.counters();
        RC_ASSERT(counters.onlineQueued == expected.onlineQueued);
        RC_ASSERT(counters.batchQueued == expected.batchQueued);
        RC_ASSERT(counters.onlineInFlight == expected.onlineInFlight);
        RC_ASSERT(counters.batchInFlight == expected.batchInFlight);
        RC_ASSERT(counters.refused == m_refused);
    }

    void drain()
    {
        for (int n = 0; n < 500; ++n) {
            for (const auto& [id, endpoint] : allAttempts()) {
                const bool wasCancelled = m_tracked.at(id).attempts.at(endpoint);
                finish(id, endpoint, wasCancelled ? AttemptOutcome::Cancelled : AttemptOutcome::Completed, true);
                poll();
            }
            m_clock.advance(Milliseconds { 100 });
            poll();
        }
        for (const auto& [id, it] : m_tracked)
            RC_ASSERT(it.state == Tracked::State::Ended);
    }

    const std::vector<uint32_t>& m_numbers;
    size_t m_position { 0 };
    SimulatedClock m_clock;
    SeededRandom m_random { 7 };
    LearnedScheduler m_scheduler;
    std::map<WorkId, Tracked> m_tracked;
    std::map<std::string, SchedulerEndpoint> m_endpoints;
    std::set<std::string> m_knownEndpoints;
    std::map<std::string, uint32_t> m_peerOnline;
    MonotonicTime m_peerSummaryAt;
    WorkId m_lastId { 0 };
    uint64_t m_refused { 0 };
};

}

// Guards against work that ends twice or never, against starts that are not allowed, and against counters that drift,
// in sequences of events that no other test covers.
TEST_CASE("the scheduler's decisions agree with a reference model")
{
    rc::detail::TestParams params;
    params.seed = propertySeed;
    params.maxSuccess = 200;
    const auto result = rc::detail::checkTestable(
        [] {
            const auto number = rc::gen::resize(rc::kNominalSize, rc::gen::inRange<uint32_t>(0, 1'000'000));
            const auto numbers
                = *rc::gen::container<std::vector<uint32_t>>(*rc::gen::inRange<size_t>(0, 1'500), number);
            SchedulerModel(numbers).run();
        },
        rc::detail::TestMetadata {}, params);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    INFO(text.str());
    CHECK(result.is<rc::detail::SuccessResult>());
}
