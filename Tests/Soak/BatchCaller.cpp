#include "BatchCaller.h"

#include <standins/Store.h>

#include <algorithm>
#include <cstdio>

namespace Chicorydock {

using Review::call;
using Review::Json;
using Review::now;
using Review::sleepMs;

namespace {

    // Bounds of the platform's pages for the items that are not listed at the end.
    constexpr double finishMs = 18'000;
    constexpr double hadMs = 5'000;
    constexpr double finishedMs = 3'000;
    /// The check gives up then, however long the endpoints work.
    constexpr double giveUpMs = 120'000;
    constexpr double submitEveryMs = 1'500;
    constexpr int submissions = 12;
    const Review::Headers host { { "Host", "soak.example" } };

}

BatchCaller::BatchCaller(const Nodes& nodes, const std::atomic<bool>& isOver, uint64_t seed)
    : m_nodes(nodes)
    , m_isOver(isOver)
    , m_random(seed)
{
}

/// Returns a node of the region of zones a and b, where the jobs are.
const SoakNode& BatchCaller::anyNode()
{
    for (;;) {
        const size_t n = std::uniform_int_distribution<size_t>(0, m_nodes.size() - 1)(m_random);
        if (n % zoneCount != 2)
            return *m_nodes[n];
    }
}

void BatchCaller::run()
{
    while (!m_isOver) {
        char id[20];
        std::snprintf(id, sizeof(id), "%016llx", static_cast<unsigned long long>(m_random()));
        const Job job { .id = id, .events = 4 + m_random() % 12, .items = 4 + m_random() % 12 };
        if (submit(job))
            m_accepted.push_back(job);
        sleepMs(submitEveryMs);
    }
}

Json BatchCaller::body(const Job& job) const
{
    std::vector<Json> items;
    for (size_t n = 0; n < job.items; ++n) {
        const std::string path = prefix + job.itemId(n) + '/' + std::to_string(job.events) + "/40/c";
        items.push_back(Json::object({ { "id", job.itemId(n) }, { "path", path },
            { "headers", Json::object({ { "Model", "m" }, { "Token-Count", "40,60" } }) },
            { "body", Review::toBase64("body of " + path) }, { "token_count", 100 } }));
    }
    return Json::object({ { "items", Json::array(std::move(items)) } });
}

bool BatchCaller::submit(const Job& job)
{
    const std::string text = body(job).dump();
    for (int n = 0; n < submissions; ++n) {
        const auto answer = call(anyNode().front(), "POST", prefix + job.id,
            { { "Host", "soak.example" }, { "Request-Id", job.id }, { "Content-Type", "application/json" } }, text);
        if (answer.status == 202)
            return true;
        sleepMs(200);
    }
    return false;
}

void BatchCaller::readResults(Job& job)
{
    const auto answer
        = call(anyNode().front(), "GET", "/api/lots/" + job.id + "?after=" + std::to_string(job.outputs.size()), host);
    if (answer.status == 404 || answer.status == 410)
        job.fault = "is answered " + std::to_string(answer.status);
    if (answer.status != 200)
        return;
    const Json page = Json::parse(answer.body);
    if (static_cast<size_t>(page["total"].number) != job.items)
        job.fault = "has another total";
    for (const Json& it : page["results"].list) {
        const std::string& id = it["id"].text;
        std::string output;
        for (size_t n = 1; n <= job.events; ++n)
            output += (n > 1 ? "\n" : "") + id + '-' + std::to_string(n);
        if (it["state"].text != "completed" || it["output"].text != output)
            job.fault = "lists " + id + " as " + it["state"].text + " with the output " + it["output"].text;
        if (!job.outputs.emplace(id, output).second)
            job.fault = "lists " + id + " twice";
    }
}

bool BatchCaller::isListed() const
{
    return std::ranges::all_of(m_accepted, [](const Job& it) { return it.outputs.size() >= it.items; });
}

/// Returns whether an endpoint has had an unlisted item, or has finished one, so shortly ago that an item that is not
/// listed breaks no rule yet.
bool BatchCaller::isWorkedOn(const std::vector<Run>& runs) const
{
    const double at = now();
    return std::ranges::any_of(runs, [&](const Run& run) {
        const double endedAt = run.endedAt == 0 ? at : run.endedAt;
        if (!run.path.starts_with(prefix) || endedAt < at - hadMs)
            return false;
        const auto job
            = std::ranges::find_if(m_accepted, [&](const Job& it) { return run.id.starts_with('i' + it.id); });
        const bool isUnlisted = job != m_accepted.end() && !job->outputs.contains(run.id);
        return isUnlisted || (run.end == Run::End::Whole && endedAt > at - finishedMs);
    });
}

std::vector<std::string> BatchCaller::check(const Ledger<Run>& runs)
{
    const double began = now();
    while (!isListed() && now() < began + giveUpMs && (now() < began + finishMs || isWorkedOn(runs.all()))) {
        for (Job& it : m_accepted) {
            if (it.outputs.size() < it.items)
                readResults(it);
        }
        sleepMs(200);
    }
    std::vector<std::string> findings;
    for (const Job& it : m_accepted) {
        if (it.outputs.size() < it.items)
            findings.push_back("LOST job " + it.id + ": " + std::to_string(it.items - it.outputs.size()) + " of "
                + std::to_string(it.items) + " items are not listed");
        if (!it.fault.empty())
            findings.push_back("MIXED job " + it.id + ' ' + it.fault);
    }
    return findings;
}

}
