#include <LibGateway/PromptQuarantine.h>

#include <LibCore/Digest.h>

#include <algorithm>
#include <utility>

namespace Chicorydock {

namespace {

    /// An endpoint may also crash or lose a connection by chance while it runs a request with a sound part.
    constexpr size_t crashesBeforeQuarantine = 3;

    /// Time within which an endpoint that still runs responds to another request, if it has any.
    constexpr Milliseconds crashConfirmationTime { 200 };

    /// Responses that were on their way when the connections were closed arrive within this time.
    constexpr Milliseconds responseTransitTime { 50 };

    /// Endpoints that crash together have done so within this time, and others are left that can be spared for a trial.
    constexpr std::chrono::seconds firstQuarantineTime { 5 };
    /// With it, three trials fall into the first two minutes after a part began to crash endpoints.
    constexpr int quarantineTimeFactor = 4;
    constexpr std::chrono::minutes maxQuarantineTime { 30 };

    /// Pause between two crashes under a part in quarantine that shows that the second one was a trial. Requests that
    /// were on their way when the quarantine began crash their endpoints earlier.
    constexpr std::chrono::seconds minPauseBeforeTrial { 3 };

    /// Time before the end of a quarantine from which nodes with a request for the trial report it.
    constexpr std::chrono::seconds candidacyLead { 2 };
    /// Time for which such a report counts. Items ask each second, and a report takes up to a second to all nodes.
    constexpr std::chrono::seconds candidacyTime { 3 };

    /// Limit on the time that a request with a part on trial may take.
    constexpr std::chrono::seconds trialTime { 10 };

    /// Retry delay for requests that come while another one is on trial.
    constexpr Milliseconds trialRetryDelay { 1'000 };

    /// Time for which a part that was answered counts as sound. Parts that endpoints answer all the time must not be
    /// suspected for the requests in which they occur together with a crashing one.
    constexpr std::chrono::seconds answerMemory { 60 };
    constexpr size_t maxAnsweredParts = 16'384;

    /// Time for which a few crashes without a quarantine, and a part that was cleared, are remembered.
    constexpr std::chrono::minutes suspicionMemory { 3 };

    /// Age up to which a crash without a quarantine, or an answer, is reported. Other nodes have it by then.
    constexpr std::chrono::seconds newsAge { 10 };

    /// Age up to which a crash that another node has observed is passed on. With each crash of an endpoint there are as
    /// many suspects as it ran requests, and most of them never become more.
    constexpr std::chrono::seconds relayAge { 2 };

    /// Limits on a report, which has to fit into a datagram.
    constexpr size_t maxReportedParts = 16;
    constexpr size_t maxReportedCrashes = 6;

    constexpr size_t maxSuspects = 512;

    /// Time for which it is remembered that an endpoint responded after others took it for crashed. Their reports end
    /// within it.
    constexpr std::chrono::minutes responseMemory { 3 };

    Milliseconds milliseconds(MonotonicTime::duration duration)
    {
        return std::chrono::duration_cast<Milliseconds>(duration);
    }

    using Crashes = std::map<uint64_t, MonotonicTime>;

    /// Returns how many trials have crashed their endpoints.
    size_t failedTrials(const Crashes& crashes)
    {
        std::vector<MonotonicTime> times;
        for (const auto& [incarnation, at] : crashes)
            times.push_back(at);
        std::ranges::sort(times);
        size_t trials = 0;
        for (size_t n = crashesBeforeQuarantine; n < times.size(); ++n)
            trials += times[n] - times[n - 1] >= minPauseBeforeTrial ? 1 : 0;
        return trials;
    }

    /// Returns whether the first node comes before the other one in the order of candidates.
    bool comesBefore(const std::string& node, const std::string& other)
    {
        return std::pair(stableHash(node), node) < std::pair(stableHash(other), other);
    }

    MonotonicTime latestCrash(const Crashes& crashes)
    {
        MonotonicTime latest;
        for (const auto& [incarnation, at] : crashes)
            latest = std::max(latest, at);
        return latest;
    }

    std::vector<EndpointCrash> reportedCrashes(const Crashes& crashes, MonotonicTime now)
    {
        std::vector<EndpointCrash> result;
        for (const auto& [incarnation, at] : crashes)
            result.push_back({ incarnation, milliseconds(now - at) });
        std::ranges::sort(result, {}, &EndpointCrash::age);
        result.resize(std::min(result.size(), maxReportedCrashes));
        return result;
    }

}

PromptQuarantine::PromptQuarantine(std::string node)
    : m_node(std::move(node))
{
}

uint64_t PromptQuarantine::incarnationKey(const EndpointRecord& endpoint)
{
    return stableHash(endpoint.id, static_cast<uint64_t>(endpoint.startedAt));
}

bool PromptQuarantine::isQuarantined(const Suspect& suspect)
{
    return suspect.crashes.size() >= crashesBeforeQuarantine;
}

MonotonicTime PromptQuarantine::quarantineEnd(const Suspect& suspect)
{
    std::chrono::seconds time = firstQuarantineTime;
    for (size_t n = failedTrials(suspect.crashes); n > 0 && time < maxQuarantineTime; --n)
        time *= quarantineTimeFactor;
    return latestCrash(suspect.crashes) + std::min<std::chrono::seconds>(time, maxQuarantineTime);
}

PromptDecision PromptQuarantine::decide(const std::vector<std::string>& parts, MonotonicTime now)
{
    confirmCrashes(now);
    const auto suspects = quarantinedAmong(parts);
    if (suspects.empty())
        return { PromptDecision::Kind::Send };
    const auto& longest
        = *std::ranges::max_element(suspects, {}, [](const auto& it) { return quarantineEnd(*it.second); });
    const MonotonicTime end = quarantineEnd(*longest.second);
    // A candidate that could not send its request yet would keep others from sending theirs.
    if (now + candidacyLead >= end) {
        for (const auto& [part, suspect] : suspects)
            addCandidate(*suspect, { m_node, now }, now);
    }
    if (now < end)
        return refuse(longest, std::chrono::ceil<Milliseconds>(end - now), now);
    for (const auto& it : suspects) {
        if (mustWaitForOthers(*it.second, now))
            return refuse(it, trialRetryDelay, now);
    }
    return { PromptDecision::Kind::SendOnTrial };
}

void PromptQuarantine::recordSent(const std::vector<std::string>& parts, MonotonicTime now)
{
    for (const auto& [part, suspect] : quarantinedAmong(parts))
        suspect->trialStartedAt = now;
}

std::vector<std::pair<std::string, PromptQuarantine::Suspect*>> PromptQuarantine::quarantinedAmong(
    const std::vector<std::string>& parts)
{
    std::vector<std::pair<std::string, Suspect*>> suspects;
    for (const std::string& part : parts) {
        const auto it = m_suspects.find(part);
        if (it != m_suspects.end() && isQuarantined(it->second))
            suspects.emplace_back(part, &it->second);
    }
    return suspects;
}

PromptDecision PromptQuarantine::refuse(
    const std::pair<std::string, Suspect*>& suspect, Milliseconds retryAfter, MonotonicTime now)
{
    ++m_refusals;
    const Crashes& crashes = suspect.second->crashes;
    return { PromptDecision::Kind::Refuse, retryAfter, suspect.first, crashes.size(),
        milliseconds(now - latestCrash(crashes)) };
}

void PromptQuarantine::addCandidate(Suspect& suspect, const Candidate& candidate, MonotonicTime now)
{
    const auto isFresh = [&](const Candidate& it) { return now - it.at < candidacyTime; };
    if (!isFresh(candidate))
        return;
    std::optional<Candidate>& first = suspect.candidate;
    if (first && first->node == candidate.node)
        first->at = std::max(first->at, candidate.at);
    else if (!first || !isFresh(*first) || comesBefore(candidate.node, first->node))
        first = candidate;
}

bool PromptQuarantine::isTrialUnderWay(const Suspect& suspect, MonotonicTime now)
{
    return suspect.trialStartedAt && now - *suspect.trialStartedAt < trialTime;
}

bool PromptQuarantine::mustWaitForOthers(const Suspect& suspect, MonotonicTime now) const
{
    return isTrialUnderWay(suspect, now) || (suspect.candidate && suspect.candidate->node != m_node);
}

bool PromptQuarantine::isAnswered(const std::string& part) const
{
    const uint64_t key = stableHash(part);
    return m_answered.contains(key) || m_previouslyAnswered.contains(key);
}

void PromptQuarantine::clear(Suspect& suspect, MonotonicTime answeredAt)
{
    suspect.crashes.clear();
    suspect.ownCrashAt.reset();
    suspect.trialStartedAt.reset();
    suspect.candidate.reset();
    suspect.answeredAt = std::max(suspect.answeredAt.value_or(answeredAt), answeredAt);
}

void PromptQuarantine::addCrash(Suspect& suspect, uint64_t incarnation, MonotonicTime at)
{
    const auto responded = m_respondedAt.find(incarnation);
    if (responded != m_respondedAt.end() && at < responded->second)
        return;
    // Reports of crashes before the answer may still be on their way.
    if (suspect.answeredAt && at <= *suspect.answeredAt)
        return;
    suspect.crashes.try_emplace(incarnation, at);
    m_suspectedIncarnations.insert(incarnation);
}

void PromptQuarantine::recordAnswer(const std::vector<std::string>& parts, MonotonicTime now)
{
    rotateAnsweredParts(now);
    for (const std::string& part : parts) {
        m_answered.insert(stableHash(part));
        if (const auto it = m_suspects.find(part); it != m_suspects.end())
            clear(it->second, now);
    }
}

void PromptQuarantine::recordBrokenConnection(
    const std::vector<std::string>& parts, const EndpointRecord& endpoint, MonotonicTime now)
{
    if (!parts.empty())
        m_brokenConnections.push_back({ endpoint.id, incarnationKey(endpoint), parts, now });
}

void PromptQuarantine::recordResponse(const EndpointRecord& endpoint, MonotonicTime now)
{
    std::erase_if(m_brokenConnections,
        [&](const auto& it) { return it.endpoint == endpoint.id && now - it.at > responseTransitTime; });
    const uint64_t incarnation = incarnationKey(endpoint);
    if (!m_suspectedIncarnations.contains(incarnation))
        return;
    // A response that was sent before the crash may arrive a moment after it.
    const MonotonicTime aliveAt = now - responseTransitTime;
    m_respondedAt[incarnation] = aliveAt;
    for (auto& [part, suspect] : m_suspects) {
        const auto crash = suspect.crashes.find(incarnation);
        if (crash != suspect.crashes.end() && crash->second < aliveAt)
            suspect.crashes.erase(crash);
    }
}

void PromptQuarantine::confirmCrashes(MonotonicTime now)
{
    const auto isConfirmed = [&](const BrokenConnection& it) { return now - it.at >= crashConfirmationTime; };
    for (const BrokenConnection& broken : m_brokenConnections) {
        if (!isConfirmed(broken))
            continue;
        for (const std::string& part : broken.parts) {
            if (isAnswered(part))
                continue;
            makeRoom();
            Suspect& suspect = m_suspects[part];
            addCrash(suspect, broken.incarnation, broken.at);
            suspect.ownCrashAt = broken.at;
        }
    }
    std::erase_if(m_brokenConnections, isConfirmed);
}

std::vector<std::string> PromptQuarantine::update(MonotonicTime now)
{
    rotateAnsweredParts(now);
    confirmCrashes(now);
    forgetOldSuspects(now);
    std::vector<std::string> quarantined;
    for (auto& [part, suspect] : m_suspects) {
        const bool wasQuarantined = std::exchange(suspect.wasQuarantined, isQuarantined(suspect));
        if (suspect.wasQuarantined && !wasQuarantined)
            quarantined.push_back(part);
    }
    return quarantined;
}

void PromptQuarantine::forgetOldSuspects(MonotonicTime now)
{
    std::erase_if(m_suspects, [&](const auto& it) {
        const Suspect& suspect = it.second;
        if (isQuarantined(suspect))
            return now > quarantineEnd(suspect) + maxQuarantineTime;
        const MonotonicTime latest
            = std::max(latestCrash(suspect.crashes), suspect.answeredAt.value_or(MonotonicTime {}));
        return now - latest > suspicionMemory;
    });
    std::erase_if(m_respondedAt, [&](const auto& it) { return now - it.second > responseMemory; });
    collectSuspectedIncarnations();
}

void PromptQuarantine::collectSuspectedIncarnations()
{
    m_suspectedIncarnations.clear();
    for (const auto& [part, suspect] : m_suspects) {
        for (const auto& [incarnation, at] : suspect.crashes)
            m_suspectedIncarnations.insert(incarnation);
    }
    for (const auto& [incarnation, at] : m_respondedAt)
        m_suspectedIncarnations.insert(incarnation);
}

void PromptQuarantine::makeRoom()
{
    if (m_suspects.size() < maxSuspects)
        return;
    m_suspects.erase(std::ranges::min_element(m_suspects, {},
        [](const auto& it) { return std::pair(it.second.crashes.size(), latestCrash(it.second.crashes)); }));
}

void PromptQuarantine::rotateAnsweredParts(MonotonicTime now)
{
    if (now - m_periodStartedAt < answerMemory && m_answered.size() < maxAnsweredParts)
        return;
    m_previouslyAnswered = std::exchange(m_answered, {});
    m_periodStartedAt = now;
}

bool PromptQuarantine::isNews(const Suspect& suspect, MonotonicTime now)
{
    if (isQuarantined(suspect))
        return true;
    const bool isOwnNews = suspect.ownCrashAt && now - *suspect.ownCrashAt < newsAge;
    return isOwnNews || now - latestCrash(suspect.crashes) < relayAge;
}

std::vector<SuspectPart> PromptQuarantine::report(MonotonicTime now) const
{
    std::vector<SuspectPart> parts;
    for (const auto& [part, suspect] : m_suspects) {
        SuspectPart entry { part, {}, {} };
        if (isNews(suspect, now))
            entry.crashes = reportedCrashes(suspect.crashes, now);
        if (suspect.answeredAt && now - *suspect.answeredAt < newsAge)
            entry.answeredAgo = milliseconds(now - *suspect.answeredAt);
        if (isTrialUnderWay(suspect, now))
            entry.trialAgo = milliseconds(now - *suspect.trialStartedAt);
        if (suspect.candidate && now - suspect.candidate->at < candidacyTime)
            entry.candidate = { suspect.candidate->node, milliseconds(now - suspect.candidate->at) };
        if (!entry.crashes.empty() || entry.answeredAgo)
            parts.push_back(std::move(entry));
    }
    // Of parts with as many crashes, those with the latest one are news to most nodes.
    std::ranges::sort(parts, {}, [](const SuspectPart& it) {
        const Milliseconds age = it.crashes.empty() ? Milliseconds::max() : it.crashes.front().age;
        return std::pair(-static_cast<int>(it.crashes.size()), age);
    });
    parts.resize(std::min(parts.size(), maxReportedParts));
    return parts;
}

void PromptQuarantine::merge(const std::vector<SuspectPart>& parts, MonotonicTime now)
{
    for (const SuspectPart& it : parts) {
        if (!m_suspects.contains(it.part))
            makeRoom();
        // Other nodes may not have seen that endpoints answer requests with the part.
        if (it.answeredAgo || isAnswered(it.part)) {
            clear(m_suspects[it.part], now - it.answeredAgo.value_or(Milliseconds { 0 }));
            continue;
        }
        Suspect& suspect = m_suspects[it.part];
        for (const EndpointCrash& crash : it.crashes)
            addCrash(suspect, crash.incarnation, now - crash.age);
        if (it.trialAgo)
            suspect.trialStartedAt = std::max(suspect.trialStartedAt.value_or(MonotonicTime {}), now - *it.trialAgo);
        if (it.candidate)
            addCandidate(suspect, { it.candidate->node, now - it.candidate->age }, now);
    }
}

size_t PromptQuarantine::quarantinedParts(MonotonicTime now) const
{
    return static_cast<size_t>(std::ranges::count_if(
        m_suspects, [&](const auto& it) { return isQuarantined(it.second) && now < quarantineEnd(it.second); }));
}

}
