#include "Judge.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <ranges>
#include <set>
#include <sstream>

namespace Chicorydock {

namespace {

    // Bounds of the platform's pages.
    constexpr double graceMs = SoakNode::graceMs;
    constexpr double contactMs = 3'000;
    constexpr double lossSlackMs = 200;
    constexpr double configApplyMs = 2'500;
    constexpr double afterGraceMs = 1'000;
    /// Endpoints may be at work in the last sixth of the grace time, on requests that were sent so soon after SIGTERM.
    constexpr double excusedSendMs = 3'000;
    /// At any time, so many requests may be passed on and then closed without an answer.
    constexpr size_t closedAllowance = 3;

    bool isPromise(int status) { return status == 429 || status == 503 || status == 408 || status == 421; }

    const char* name(RequestKind kind)
    {
        static constexpr std::array names { "stream", "resumable stream", "repeatable", "unrepeatable" };
        return names.at(static_cast<size_t>(kind));
    }

    const char* name(ExchangeEnd end)
    {
        static constexpr std::array names { "whole", "closed", "reset", "given up by the caller" };
        return names.at(static_cast<size_t>(end));
    }

    std::vector<Run> runsOf(const std::multimap<std::string, Run>& runs, const std::string& id)
    {
        std::vector<Run> found;
        const auto [begin, end] = runs.equal_range(id);
        std::transform(begin, end, std::back_inserter(found), [](const auto& it) { return it.second; });
        return found;
    }

}

Judge::Judge(std::vector<std::vector<SoakNode::Life>> lives, std::map<RequestKind, double> routeTimeoutMs)
    : m_lives(std::move(lives))
    , m_routeTimeoutMs(std::move(routeTimeoutMs))
{
}

Verdict Judge::judge(const std::vector<Exchange>& exchanges, const std::vector<Run>& allRuns) const
{
    Verdict verdict;
    Runs runs;
    std::set<std::string> sent;
    for (const Run& it : allRuns)
        runs.emplace(it.id, it);
    for (const Exchange& it : exchanges) {
        if (it.status != 200 || it.end != ExchangeEnd::Whole)
            verdict.record.push_back(describe(it, runsOf(runs, it.request.id)));
        sent.insert(it.request.id);
        judgeAnswer(it, runs, verdict);
        judgeEnd(it, runs, verdict);
    }
    for (const Run& it : allRuns) {
        // Items are checked by their results.
        if (it.isAltered || (!it.path.starts_with("/set/i") && !sent.contains(it.id)))
            verdict.findings.push_back("UNASKED " + it.id + " ran at " + it.endpoint + ": " + it.path);
    }
    if (verdict.notes.size() > closedAllowance)
        verdict.findings.insert(verdict.findings.end(), verdict.notes.begin(), verdict.notes.end());
    return verdict;
}

void Judge::judgeAnswer(const Exchange& exchange, const Runs& runs, Verdict& verdict) const
{
    const auto own = runsOf(runs, exchange.request.id);
    const auto add = [&](const std::string& rule) { verdict.findings.push_back(rule + ' ' + describe(exchange, own)); };
    ++verdict.counts["requests"];
    if (exchange.end == ExchangeEnd::Whole)
        ++verdict.counts["status " + std::to_string(exchange.status)];
    else if (!exchange.isPipelined)
        ++verdict.counts[name(exchange.end)];
    if (exchange.hasWrongBody || exchange.bearsOtherId)
        add("MIXED");
    if (!exchange.request.isRepeatable() && own.size() > 1)
        add("TWICE");
    if (!exchange.request.isRepeatable() && !own.empty() && isPromise(exchange.status))
        add("REFUSED");
    if ((exchange.status == 503 || exchange.status == 429) && !exchange.hasRetryAfter) {
        ++verdict.counts["refusals without Retry-After"];
        verdict.record.push_back("no Retry-After " + describe(exchange, own));
    }
}

void Judge::judgeEnd(const Exchange& exchange, const Runs& runs, Verdict& verdict) const
{
    if (exchange.end == ExchangeEnd::Whole || exchange.end == ExchangeEnd::Abandoned)
        return;
    const auto own = runsOf(runs, exchange.request.id);
    const SoakNode::Life* const life = lifeOf(exchange);
    if (!life)
        return;
    // After a reset it is not known whether the node had read the request.
    const bool wasHeld = exchange.end == ExchangeEnd::Closed && !exchange.isPipelined
        && exchange.endedAt > exchange.sentAt + lossSlackMs;
    if (own.empty() && !wasHeld)
        return;
    const std::string why = excuse(exchange, *life, own);
    if (!why.empty()) {
        ++verdict.counts["excused: " + why];
        return;
    }
    const bool isStop = life->terminatedAt > 0 && exchange.endedAt >= life->terminatedAt
        && exchange.endedAt <= life->terminatedAt + graceMs + afterGraceMs;
    const bool isReload = life->reloadedAt > 0 && exchange.sentAt <= life->reloadedAt + configApplyMs
        && exchange.endedAt >= life->reloadedAt;
    // Shown apart, since it may be a timer that is early.
    const bool isNearLimit = exchange.endedAt >= exchange.sentAt + 0.9 * limitMs(exchange.request);
    if (isNearLimit)
        ++verdict.counts["cut in the last tenth of the time limit"];
    if (isStop || isReload) {
        ++verdict.counts["lost"];
        verdict.findings.push_back((isStop ? "LOST around SIGTERM " : "LOST after SIGHUP ") + describe(exchange, own));
    } else if (!own.empty()) {
        verdict.notes.push_back("LOST at any time " + describe(exchange, own));
    }
}

std::string Judge::excuse(const Exchange& exchange, const SoakNode::Life& life, const std::vector<Run>& runs) const
{
    const double limit = limitMs(exchange.request);
    if (exchange.endedAt >= exchange.sentAt + limit)
        return "time limit";
    if (std::ranges::any_of(runs, [](const Run& it) { return it.end == Run::End::BrokenOff; }))
        return "the endpoint broke off";
    if (std::ranges::any_of(
            life.disruptions, [&](double at) { return at >= exchange.sentAt - contactMs && at <= exchange.endedAt; }))
        return "unplanned disruption";
    const double lastSixth = life.terminatedAt + graceMs * 5 / 6;
    const bool isLate
        = std::ranges::any_of(runs, [&](const Run& it) { return it.endedAt == 0 || it.endedAt >= lastSixth; });
    if (life.terminatedAt > 0 && exchange.sentAt <= life.terminatedAt + excusedSendMs && isLate)
        return "last sixth of the grace time";
    return {};
}

double Judge::limitMs(const SoakRequest& request) const
{
    return std::min<double>(request.deadlineMs, m_routeTimeoutMs.at(request.kind));
}

const SoakNode::Life* Judge::lifeOf(const Exchange& exchange) const
{
    const SoakNode::Life* found = nullptr;
    for (const SoakNode::Life& it : m_lives.at(exchange.node)) {
        if (it.startedAt <= exchange.sentAt)
            found = &it;
    }
    return found;
}

std::string Judge::describe(const Exchange& exchange, const std::vector<Run>& runs) const
{
    const SoakNode::Life* const life = lifeOf(exchange);
    std::ostringstream out;
    out << name(exchange.request.kind) << ' ' << exchange.request.target() << " at node-" << exchange.node << " sent "
        << exchange.sentAt << " end " << exchange.endedAt << ' ' << name(exchange.end) << " status " << exchange.status
        << " bytes " << exchange.receivedBytes << " after " << exchange.endedAt - exchange.sentAt << " of "
        << limitMs(exchange.request) << " ms" << (exchange.isPipelined ? " pipelined" : "");
    if (life && life->terminatedAt > 0)
        out << "; SIGTERM " << life->terminatedAt << " (sent " << exchange.sentAt - life->terminatedAt << ", ended "
            << exchange.endedAt - life->terminatedAt << " ms after it)";
    for (const Run& it : runs)
        out << " [" << it.endpoint << ' ' << it.beganAt << ".." << it.endedAt << " after event " << it.afterEvent
            << " end " << static_cast<int>(it.end) << ']';
    return out.str();
}

}
