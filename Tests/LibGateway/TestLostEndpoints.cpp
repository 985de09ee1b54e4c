#include <LibGateway/SlotMember.h>

#include <LibCore/SeededRandom.h>
#include <Tests/Support/SimulatedClock.h>
#include <catch2/catch.hpp>

#include <memory>

using namespace Chicorydock;

namespace {

/// Thirty members of one coordinator, of which some lose their connections to all endpoints: their attempts fail after
/// the time limit for a new connection, and each request is attempted four times.
class CutDomain {
public:
    explicit CutDomain(size_t cutMembers)
        : m_cutMembers(cutMembers)
    {
        std::vector<EndpointRecord> endpoints;
        for (int n = 0; n < 32; ++n)
            endpoints.push_back({ "e" + std::to_string(n), "10.0.0.1:80", "lm", "z1", 8, false, 1 });
        m_coordinator.setEndpoints(endpoints);
        for (size_t n = 0; n < memberCount; ++n) {
            Member& member = *m_members.emplace_back(std::make_unique<Member>("m" + std::to_string(n)));
            member.member.setCandidates({ "c" }, m_clock.now());
        }
    }

    /// Runs with 8 requests a second at each member.
    void run(Milliseconds duration)
    {
        constexpr Milliseconds step { 5 };
        for (Milliseconds left = duration; left.count() > 0; left -= step) {
            m_clock.advance(step);
            for (size_t n = 0; n < memberCount; ++n)
                advance(n);
            m_coordinator.poll(m_clock.now());
            for (const auto& [node, reply] : m_coordinator.takeReplies(m_clock.now()))
                memberOf(node).receive("c", reply, m_clock.now());
        }
    }

    void cut() { m_isCut = true; }
    void resetCounts() { sent = onTime = 0; }

    /// Of the members that reach the endpoints.
    size_t sent { 0 };
    size_t onTime { 0 };

private:
    static constexpr size_t memberCount = 30;

    struct Running {
        uint64_t id { 0 };
        MonotonicTime endsAt;
        EndpointOutcome outcome {};
        std::string endpoint;
    };

    struct Member {
        explicit Member(const std::string& name)
            : scheduler({ name, "z1", { { "z1", "r1" } } }, random)
            , member(name, coordinator)
        {
        }

        SeededRandom random { 1 };
        SlotScheduler scheduler;
        SlotCoordinator coordinator { scheduler };
        SlotMember member;
        std::map<uint64_t, MonotonicTime> submitted;
        /// Endpoints at which earlier attempts of a request failed.
        std::map<uint64_t, std::vector<std::string>> excluded;
        std::vector<Running> running;
    };

    SlotMember& memberOf(const std::string& node) { return m_members[std::stoul(node.substr(1))]->member; }

    void advance(size_t n)
    {
        Member& member = *m_members[n];
        const MonotonicTime now = m_clock.now();
        const bool isCut = m_isCut && n < m_cutMembers;
        if (m_random.unit() < 8 * 0.005) {
            member.member.submit(
                OnlineWork { ++m_lastWork, "lm", 0, now + Milliseconds { 220 }, now + std::chrono::seconds { 5 } },
                now);
            member.submitted[m_lastWork] = now;
            sent += n < m_cutMembers ? 0 : 1;
        }
        member.member.checkCoordinator(now);
        for (const SlotMember::OutgoingReport& it : member.member.takeReports(now))
            m_coordinator.receive("m" + std::to_string(n), it.report, now);
        for (const SlotDecision& it : member.member.poll(now)) {
            if (it.kind != SlotDecision::Kind::Start)
                continue;
            onTime += n >= m_cutMembers && now - member.submitted[it.work] <= Milliseconds { 220 } ? 1 : 0;
            member.running.push_back({ it.work, now + Milliseconds { isCut ? 400 : 750 },
                isCut ? EndpointOutcome::Failed : EndpointOutcome::Answered, it.endpoint });
        }
        std::erase_if(member.running, [&](const Running& it) {
            if (now < it.endsAt)
                return false;
            member.member.finish(it.id, it.outcome, now);
            if (it.outcome == EndpointOutcome::Failed)
                submitAgain(member, it);
            return true;
        });
    }

    void submitAgain(Member& member, const Running& failed)
    {
        std::vector<std::string> excluded = std::move(member.excluded[failed.id]);
        member.excluded.erase(failed.id);
        excluded.push_back(failed.endpoint);
        if (excluded.size() >= 4)
            return;
        OnlineWork work { ++m_lastWork, "lm", 0, m_clock.now(), m_clock.now() + std::chrono::seconds { 4 }, true,
            excluded };
        member.member.submit(work, m_clock.now());
        member.excluded[work.id] = std::move(excluded);
    }

    const size_t m_cutMembers;
    SeededRandom m_random { 3 };
    SimulatedClock m_clock;
    SlotScheduler m_scheduler { { "c", "z1", { { "z1", "r1" } } }, m_random };
    SlotCoordinator m_coordinator { m_scheduler };
    std::vector<std::unique_ptr<Member>> m_members;
    bool m_isCut { false };
    uint64_t m_lastWork { 0 };
};

}

// Load: 180 of 256 slots in use, and most members of a coordinator lose their connections to all endpoints. Guards
// against endpoints that are withheld from members that reach them (RECOVER).
TEST_CASE("members that lost their endpoints do not keep the others from using them")
{
    CutDomain domain(GENERATE(3, 9, 18, 27));
    domain.run(std::chrono::seconds { 3 });
    domain.cut();
    domain.run(std::chrono::seconds { 3 });
    domain.resetCounts();
    domain.run(std::chrono::seconds { 8 });
    CHECK(domain.onTime * 10 >= domain.sent * 9);
}
