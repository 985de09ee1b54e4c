#pragma once

#include <standins/Node.h>
#include <standins/Proxy.h>
#include <standins/Record.h>
#include <standins/Store.h>
#include <standins/Worker.h>

#include <cstdlib>
#include <filesystem>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Review {

/// Exit statuses of a case.
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

/// The bounds of the site file, in milliseconds.
constexpr double contactMs = 3'000;
constexpr double cancelMs = 3'000;
constexpr double drainMs = 2'500;
constexpr double configApplyMs = 2'500;
constexpr double finishMs = 18'000;

/// A small deployment: a store, workers, and nodes in three zones of two regions.
class World {
public:
    /// `folder` is the folder of the case, for `record.txt`.
    explicit World(const std::string& folder)
        : record(folder + "/record.txt")
        , m_folder(makeFolder())
    {
    }

    /// Ends all processes and removes the temporary folder, unless `KEEP_LOGS` is set.
    void end()
    {
        for (const auto& it : nodes)
            it->kill();
        if (std::getenv("KEEP_LOGS"))
            std::printf("logs of the nodes: %s\n", m_folder.c_str());
        else
            std::filesystem::remove_all(m_folder);
        std::fflush(stdout);
    }

    /// Returns whether the case plays its disruption.
    static bool hasTrouble()
    {
        const char* const value = std::getenv("TROUBLE");
        return !value || std::string(value) != "0";
    }

    Worker& addWorker(Worker::Options options)
    {
        workers.push_back(new Worker(store, record, runs, std::move(options)));
        return *workers.back();
    }

    /// Starts a node in each of the three zones, and waits until all are ready. The first one reaches the store at
    /// `storeOfFirst`, if that is given.
    bool startNodes(const std::string& storeOfFirst = {})
    {
        const char* const zones[] = { "zone-a", "zone-b", "zone-c" };
        for (size_t n = 0; n < 3; ++n) {
            const std::string address = n == 0 && !storeOfFirst.empty() ? storeOfFirst : store.address();
            nodes.push_back(std::make_unique<Node>(
                "edge-" + std::to_string(n + 1), zones[n], n == 2 ? "region-2" : "region-1", address, m_folder));
            nodes.back()->start();
        }
        return waitFor([&] { return areReady(); }, 15'000);
    }

    bool areReady() const
    {
        for (const auto& it : nodes) {
            if (!it->isReady())
                return false;
        }
        return true;
    }

    static bool waitFor(const std::function<bool()>& condition, double ms)
    {
        for (const double until = now() + ms; now() < until; sleepMs(20)) {
            if (condition())
                return true;
        }
        return condition();
    }

    /// Writes a configuration. The store's answer is the operator's acknowledgement.
    void configure(long version, const std::vector<Json>& routes, const std::vector<std::string>& services)
    {
        std::vector<Json> list;
        for (const std::string& it : services)
            list.push_back(
                Json::object({ { "name", it }, { "health_check_path", "/health" }, { "max_connections", 180 },
                    { "protocol", "h1" }, { "tls", false }, { "engine", Json::object({ { "slots", 4 } }) } }));
        const Json limits = Json::object({ { "max_header_bytes", 16384 }, { "max_body_bytes", 4194304 },
            { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } });
        store.put("op", "config",
            Json::object({ { "version", version }, { "routes", Json::array(routes) },
                             { "services", Json::array(std::move(list)) }, { "limits", limits } })
                .dump());
        record.add("configuration " + std::to_string(version) + " is acknowledged");
    }

    static Json batchRoute(const std::string& prefix, const std::string& service, double cap = 0)
    {
        return Json::object({ { "name", "batch" + prefix }, { "host", host }, { "prefix", prefix },
            { "route_type", "batch" }, { "timeout_ms", 15000 }, { "target_latency_ms", 500 }, { "priority", 2 },
            { "service", service }, { "max_attempts", 3 }, { "sticky", true }, { "can_resume", true },
            { "gap_aim_ms", 250 }, { "completion_target_ms", 18000 }, { "max_wait_s", 60 }, { "cap", cap } });
    }

    /// A route of streams that may not be resumed.
    static Json streamRoute(const std::string& prefix, const std::string& service)
    {
        return Json::object(
            { { "name", "stream" + prefix }, { "host", host }, { "prefix", prefix }, { "route_type", "streaming" },
                { "timeout_ms", 5000 }, { "target_latency_ms", 300 }, { "priority", 0 }, { "service", service },
                { "max_attempts", 1 }, { "sticky", true }, { "can_resume", false }, { "gap_aim_ms", 250 } });
    }

    /// Sends an online request for a stream of 20 events, with these additional headers.
    Answer request(const Node& node, const std::string& prefix, const std::string& id, Headers headers)
    {
        headers.insert({ { "Host", host }, { "Request-Id", id }, { "Model", "m" }, { "Token-Count", "540,400" },
            { "Deadline-Ms", "5000" } });
        record.add("client sends request " + id + " to " + node.name());
        Answer answer = call(node.front(), "POST", prefix + id + "/20", headers, "hi", 6'000);
        record.add("request " + id + " is answered " + std::to_string(answer.status));
        return answer;
    }

    /// Submits a batch job of items that take `events` events each.
    Answer submit(const Node& node, const std::string& prefix, const std::string& job, size_t items,
        unsigned long events, long tokens = 940)
    {
        std::vector<Json> list;
        for (size_t n = 0; n < items; ++n) {
            const std::string id = itemId(job, n);
            list.push_back(Json::object({ { "id", id }, { "path", prefix + id + "/" + std::to_string(events) },
                { "headers", Json::object({ { "Model", "m" }, { "Token-Count", "540,400" } }) },
                { "body", toBase64("prompt of " + id) }, { "token_count", tokens } }));
        }
        const std::string body = Json::object({ { "items", Json::array(std::move(list)) } }).dump();
        m_jobs.push_back(job);
        record.add("client sends batch job " + job + " (" + std::to_string(items) + " items) to " + node.name());
        Answer answer = call(node.front(), "POST", prefix + job,
            { { "Host", host }, { "Request-Id", job }, { "Content-Type", "application/json" } }, body);
        record.add("batch job " + job + " is answered " + std::to_string(answer.status));
        return answer;
    }

    /// Ends a batch job and tries again until that is acknowledged.
    bool endJob(const Node& node, const std::string& job, double ms = 4'000)
    {
        return waitFor(
            [&] {
                const int status = call(node.front(), "DELETE", "/api/lots/" + job, { { "Host", host } }).status;
                record.add("end of " + job + " at " + node.name() + " is answered " + std::to_string(status));
                return status == 200;
            },
            ms);
    }

    /// Reads all results of a batch job, again after each failure. Returns false if that failed for 5 s.
    bool readResults(const Node& node, const std::string& job, std::vector<Json>& results)
    {
        const double until = now() + 5'000;
        while (now() < until) {
            const Answer answer = call(node.front(), "GET",
                "/api/lots/" + job + "?after=" + std::to_string(results.size()), { { "Host", host } });
            if (answer.status != 200) {
                sleepMs(200);
                continue;
            }
            const Json page = Json::parse(answer.body);
            if (page["results"].list.empty())
                return true;
            for (const Json& it : page["results"].list)
                results.push_back(it);
        }
        return false;
    }

    /// Returns the number of requests that the workers of a service run.
    unsigned running(const std::string& service) const
    {
        unsigned sum = 0;
        for (const Worker* it : workers)
            sum += it->options().service == service ? it->running() : 0;
        return sum;
    }

    /// Checks LOST for the items of an open batch job, `finish_s` after the end of the traffic: an item is listed
    /// neither as completed nor as dead-lettered, though in the last 5 s no worker had an unlisted item of the batch
    /// job and the workers were under half full, and in the last 3 s no item was finished.
    int judgeFinished(const std::string& job, size_t items, const std::string& service)
    {
        std::vector<Json> results;
        if (!readResults(*nodes[1], job, results))
            return failToRun("the results can't be read");
        std::set<std::string> listed;
        for (const Json& it : results) {
            listed.insert(it["id"].text);
            record.add("listed: " + it["id"].text + " " + it["state"].text);
        }
        const std::string missing = std::to_string(items - listed.size()) + " of " + std::to_string(items)
            + " items are listed neither as completed nor as dead_lettered";
        if (listed.size() == items)
            return verdict(false, missing);
        const double end = now();
        for (const Run& it : runs.all()) {
            const double endedAt = it.endedAt == 0 ? end : it.endedAt;
            if (it.request.starts_with(job) && !listed.contains(it.request) && endedAt > end - 5'000)
                return verdict(false, "a worker had an unlisted item in the last 5 s");
            if (it.request.starts_with(job) && it.service == service && endedAt > end - 5'000)
                return verdict(false, "the workers were not idle in the last 5 s");
            if (isItem(it) && it.isComplete && endedAt > end - 3'000)
                return verdict(false, "an item was finished in the last 3 s");
        }
        return verdict(true, missing + ", and their workers are idle");
    }

    /// Returns whether the run is one of an item of any batch job.
    bool isItem(const Run& run) const
    {
        for (const std::string& it : m_jobs) {
            if (run.request.starts_with(it))
                return true;
        }
        return false;
    }

    static std::string itemId(const std::string& job, size_t n) { return job + "i" + std::to_string(n); }

    /// Prints the verdict, and returns the exit status.
    int verdict(bool isBroken, const std::string& what)
    {
        record.add(std::string(isBroken ? "BROKEN: " : "HELD: ") + what);
        std::printf("%s: %s\n", isBroken ? "broken" : "held", what.c_str());
        std::fflush(stdout);
        return isBroken ? ruleBroken : ruleHeld;
    }

    int failToRun(const std::string& why)
    {
        record.add("COULD NOT RUN: " + why);
        std::printf("could not run: %s\n", why.c_str());
        std::fflush(stdout);
        return couldNotRun;
    }

    static constexpr const char* host = "ficu95.example";

    Record record;
    Store store;
    Runs runs;
    /// Their threads run until the end of the program.
    std::vector<Worker*> workers;
    std::vector<std::unique_ptr<Node>> nodes;

private:
    static std::string makeFolder()
    {
        std::string name = std::filesystem::temp_directory_path() / "review-XXXXXX";
        return ::mkdtemp(name.data()) ? name : std::string("/tmp");
    }

    const std::string m_folder;
    /// Identifiers of the batch jobs that were sent. Those of their items begin with them.
    std::vector<std::string> m_jobs;
};

/// Plays a case in the world and ends the program. The threads of the stand-ins are not joined, so the world is not
/// destroyed. The argument is the folder of the case.
[[noreturn]] inline void runCase(int argc, char** argv, int (*play)(World&))
{
    ::signal(SIGPIPE, SIG_IGN);
    auto* world = new World(argc > 1 ? argv[1] : ".");
    const int status = play(*world);
    world->end();
    ::_exit(status);
}

}
