#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/EndpointRecord.h>
#include <LibGateway/SuspectPart.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace Chicorydock {

/// Whether a request may be sent to an endpoint.
struct PromptDecision {
    enum class Kind : uint8_t {
        Send,
        /// The request may be sent now, and shows whether a part still crashes endpoints.
        SendOnTrial,
        Refuse,
    };

    Kind kind { Kind::Send };
    /// The following are set for refusals only. Time after which the caller may try again.
    Milliseconds retryAfter { 0 };
    /// The part that is refused for the longest time.
    std::string part {};
    /// Number of endpoints that crashed under it, and the time since the last crash.
    size_t crashes { 0 };
    Milliseconds lastCrashAgo { 0 };

    auto operator<=>(const PromptDecision&) const = default;
};

/// Keeps requests away from the endpoints that contain a part of a prompt under which endpoints crash, or that crash
/// endpoints by themselves. The fingerprint of a request counts as one of its parts.
///
/// The load that it answers: requests with such a part arrive at all nodes, each with other parts beside it, or the
/// same request comes again and again at any node, and each of them would take down an endpoint with all requests that
/// it runs. A part is suspected if an endpoint closed the connection of a request with it before the answer had
/// properly begun, and did not respond to anything soon after that. It is quarantined after a few such crashes of
/// different endpoints, counted over all nodes. An answer to any request with the part clears it, so the parts that
/// sound requests share with a crashing one stay in use. An endpoint that responds later has not crashed, and its
/// broken connections are no evidence any more.
///
/// Endpoints that fail together for a reason of their own look the same, so a quarantine is short at first. When it
/// ends, one request with the part is sent on trial. If it crashes its endpoint too, the next quarantine is several
/// times as long; if it is answered, the part is cleared. Any node that has such a request may send it: nodes report
/// that they have one, and of several the first in a fixed order does. As the order is the same for all parts, requests
/// with several parts in quarantine do not wait for each other. Nodes that do not hear of each other may each send one.
///
/// Thread safety: none.
class PromptQuarantine {
public:
    /// `node` identifies this node among its peers.
    explicit PromptQuarantine(std::string node);

    /// Decides whether a request with these parts may be sent to an endpoint now. A request that has waited since then
    /// asks again before it is sent.
    PromptDecision decide(const std::vector<std::string>& parts, MonotonicTime now);

    /// Records that a request with these parts is sent to an endpoint. While it has no answer, no other one is sent
    /// with those of the parts that are in quarantine, for a time. Precondition: `decide()` has just allowed it.
    void recordSent(const std::vector<std::string>& parts, MonotonicTime now);

    /// Records that an endpoint answers a request with these parts.
    void recordAnswer(const std::vector<std::string>& parts, MonotonicTime now);

    /// Records that an endpoint closed the connection of a request with these parts before it answered.
    void recordBrokenConnection(const std::vector<std::string>& parts, const EndpointRecord&, MonotonicTime now);

    /// Records that an endpoint responds, so that connections which it closed before are no sign of a crash.
    void recordResponse(const EndpointRecord&, MonotonicTime now);

    /// Returns whether any connection that broke may be held against something. If not, responses need not be recorded.
    bool hasEvidence() const { return !m_brokenConnections.empty() || !m_suspects.empty(); }

    /// Returns what other nodes should know, the parts with most crashes first.
    std::vector<SuspectPart> report(MonotonicTime now) const;

    /// Adds what another node knows.
    void merge(const std::vector<SuspectPart>&, MonotonicTime now);

    /// Applies what is due, and forgets what is old. Must be called several times a second. Returns the parts that have
    /// been quarantined since the last call.
    std::vector<std::string> update(MonotonicTime now);

    /// Returns the number of parts that are in quarantine.
    size_t quarantinedParts(MonotonicTime now) const;

    /// Returns how often requests and items have been refused since the start. An item asks again each second.
    uint64_t refusals() const { return m_refusals; }

    /// Returns the number by which nodes tell incarnations of endpoints apart. May be called from any thread.
    static uint64_t incarnationKey(const EndpointRecord&);

private:
    using Crashes = std::map<uint64_t, MonotonicTime>;

    /// A node that has a request with a part, and when it last did.
    struct Candidate {
        std::string node;
        MonotonicTime at;
    };

    struct Suspect {
        /// Times of the crashes by incarnation.
        Crashes crashes;
        /// Latest crash that this node has observed itself.
        std::optional<MonotonicTime> ownCrashAt;
        std::optional<MonotonicTime> answeredAt;
        /// When the latest trial began, at any node. Set while a request tries whether the part still crashes
        /// endpoints.
        std::optional<MonotonicTime> trialStartedAt;
        /// The first in order of the candidates for the next trial.
        std::optional<Candidate> candidate;
        /// Whether the part was in quarantine at the last update.
        bool wasQuarantined { false };
    };

    /// A closed connection that may be the sign of a crash.
    struct BrokenConnection {
        std::string endpoint;
        uint64_t incarnation { 0 };
        std::vector<std::string> parts;
        MonotonicTime at;
    };

    static bool isQuarantined(const Suspect&);
    /// Returns when the quarantine ends. Precondition: the part is quarantined.
    static MonotonicTime quarantineEnd(const Suspect&);
    void addCrash(Suspect&, uint64_t incarnation, MonotonicTime at);
    /// Returns the suspects among the parts that are in quarantine.
    std::vector<std::pair<std::string, Suspect*>> quarantinedAmong(const std::vector<std::string>& parts);
    /// Makes the node a candidate for the trial of the part, unless another one comes before it.
    static void addCandidate(Suspect&, const Candidate&, MonotonicTime now);
    static bool isTrialUnderWay(const Suspect&, MonotonicTime now);
    /// Returns whether a trial of the part must wait for another node. Precondition: the quarantine has ended.
    bool mustWaitForOthers(const Suspect&, MonotonicTime now) const;
    PromptDecision refuse(const std::pair<std::string, Suspect*>& suspect, Milliseconds retryAfter, MonotonicTime now);
    bool isAnswered(const std::string& part) const;
    /// Returns whether the other nodes may not know the crashes yet.
    static bool isNews(const Suspect&, MonotonicTime now);
    /// Forgets the suspect with the weakest evidence if there are too many.
    void makeRoom();
    static void clear(Suspect&, MonotonicTime answeredAt);
    void confirmCrashes(MonotonicTime now);
    void forgetOldSuspects(MonotonicTime now);
    void collectSuspectedIncarnations();
    void rotateAnsweredParts(MonotonicTime now);

    const std::string m_node;
    std::map<std::string, Suspect> m_suspects;
    std::vector<BrokenConnection> m_brokenConnections;
    /// When incarnations that other nodes may take for crashed have last responded to this node.
    std::map<uint64_t, MonotonicTime> m_respondedAt;
    /// Incarnations whose responses matter: they are taken for crashed, here or by others.
    std::unordered_set<uint64_t> m_suspectedIncarnations;
    uint64_t m_refusals { 0 };
    /// Hashes of the parts that were answered lately, in this and in the previous period.
    std::unordered_set<uint64_t> m_answered;
    std::unordered_set<uint64_t> m_previouslyAnswered;
    MonotonicTime m_periodStartedAt;
};

}
