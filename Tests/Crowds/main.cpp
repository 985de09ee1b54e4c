#include "Crowd.h"
#include "LargeRequest.h"

#include <Tests/Soak/SoakNode.h>

#include <gflags/gflags.h>

#include <standins/World.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/resource.h>
#include <thread>

DEFINE_string(daemon, CROWDS_DAEMON, "program of the daemon");
DEFINE_string(settings_template, CROWDS_SETTINGS, "template of the settings of the daemon");
DEFINE_string(crowd, "", "name of the crowd; all are listed if it is unknown");
DEFINE_string(request, "", "name of a request at the limits, which is sent instead of a crowd");
DEFINE_double(seconds, 8, "duration of the crowd");

namespace Chicorydock {

namespace {

    /// Memory of the machine that the settings of the node state: that of the smallest machine of any deployment.
    constexpr double machineMb = 88;

    /// Descriptors that the node may open. The node must keep some free for endpoints and the store.
    constexpr rlim_t maxDescriptors = 400;
    constexpr size_t reservedDescriptors = 32;

    /// Descriptors of this program, whose crowds are larger.
    constexpr rlim_t ownDescriptors = 4'096;

    enum ExitStatus { Passed = 0, Failed = 1, CouldNotRun = 2 };

    void limitDescriptors(rlim_t count)
    {
        rlimit limit {};
        ::getrlimit(RLIMIT_NOFILE, &limit);
        limit.rlim_cur = std::min(count, limit.rlim_max);
        ::setrlimit(RLIMIT_NOFILE, &limit);
    }

    std::string makeFolder()
    {
        std::string name = std::filesystem::temp_directory_path() / "crowds-XXXXXX";
        return ::mkdtemp(name.data()) ? name : std::string("/tmp");
    }

    /// Writes a template that states the memory of the machine. Returns its name.
    std::string writeTemplate(const std::string& folder)
    {
        std::stringstream content;
        content << std::ifstream(FLAGS_settings_template).rdbuf();
        std::string text = content.str();
        const std::string section = "[gateway]\n";
        text.insert(
            text.find(section) + section.size(), "memory_mb = " + std::to_string(static_cast<int>(machineMb)) + "\n");
        const std::string file = folder + "/template.toml";
        std::ofstream(file) << text;
        return file;
    }

    /// What one process uses.
    class ProcessUse {
    public:
        explicit ProcessUse(pid_t pid)
            : m_folder("/proc/" + std::to_string(pid))
            , m_thread([this] { sample(); })
        {
        }

        ~ProcessUse()
        {
            m_hasEnded = true;
            m_thread.join();
        }

        ProcessUse(const ProcessUse&) = delete;
        ProcessUse& operator=(const ProcessUse&) = delete;

        /// Returns the most memory so far in megabytes, and the most descriptors.
        double peakMb() const { return m_peakMb; }
        size_t peakDescriptors() const { return m_peakDescriptors; }

        double readMb(const std::string& field) const
        {
            constexpr double kilobytesPerMb = 1'024;
            std::ifstream status(m_folder + "/status");
            for (std::string line; std::getline(status, line);) {
                if (line.starts_with(field + ":"))
                    return std::stod(line.substr(field.size() + 1)) / kilobytesPerMb;
            }
            return 0;
        }

    private:
        void sample()
        {
            for (; !m_hasEnded; Review::sleepMs(20)) {
                m_peakMb = std::max<double>(m_peakMb, readMb("VmHWM"));
                std::error_code ec;
                size_t count = 0;
                for (const auto& it : std::filesystem::directory_iterator(m_folder + "/fd", ec))
                    count += it.path().empty() ? 0 : 1;
                m_peakDescriptors = std::max<size_t>(m_peakDescriptors, count);
            }
        }

        const std::string m_folder;
        std::atomic<double> m_peakMb { 0 };
        std::atomic<size_t> m_peakDescriptors { 0 };
        std::atomic<bool> m_hasEnded { false };
        std::thread m_thread;
    };

    /// Sends an ordinary request, and sends it again while it is refused or the node has no time for it.
    Review::Answer sendOrdinaryRequest(const std::string& front)
    {
        constexpr int attempts = 20;
        constexpr double timeoutMs = 6'000;
        Review::Answer answer;
        for (int n = 0; n < attempts && answer.status != 200; ++n) {
            answer = Review::call(front, "POST", "/stream/ordinary" + std::to_string(n) + "/3",
                { { "Host", Review::World::host }, { "Request-Id", "ordinary" + std::to_string(n) },
                    { "Authorization", std::string("Bearer ") + ordinaryKey }, { "Deadline-Ms", "5000" } },
                "hi", timeoutMs);
            if (answer.status != 200)
                Review::sleepMs(250);
        }
        return answer;
    }

    std::string addressOf(const SoakNode& node, CrowdKind::Port port)
    {
        switch (port) {
        case CrowdKind::Port::Callers:
            return node.front();
        case CrowdKind::Port::Status:
            return node.status();
        case CrowdKind::Port::Peers:
            return node.peer();
        }
        return {};
    }

    int check(const CrowdKind& kind, SoakNode& node)
    {
        ProcessUse use(node.pid());
        const double before = use.readMb("VmRSS");
        Crowd crowd(kind, addressOf(node, kind.port));
        constexpr double msPerSecond = 1'000;
        crowd.play(FLAGS_seconds * msPerSecond);
        const Review::Answer answer = sendOrdinaryRequest(node.front());
        const bool isReady = Review::World::waitFor([&] { return node.isReady(); }, 20'000);
        const bool hasEnded = node.hasJustEnded();
        std::printf("%-20s before %.0f MB, peak %.0f MB of %.0f, descriptors %zu of %zu, connections %zu; process %s, "
                    "%s, ordinary request: %d%s\n",
            kind.name.c_str(), before, use.peakMb(), machineMb, use.peakDescriptors(),
            static_cast<size_t>(maxDescriptors), crowd.opened(), hasEnded ? "ENDED" : "lives",
            isReady ? "ready" : "NOT READY", answer.status, answer.isComplete ? "" : " incomplete");
        const bool isWithin
            = use.peakMb() <= machineMb && use.peakDescriptors() + reservedDescriptors <= maxDescriptors;
        const bool isServed = answer.status == 200 && answer.isComplete;
        return isWithin && isServed && isReady && !hasEnded ? Passed : Failed;
    }

    int checkAtLimit(const std::string& name, SoakNode& node)
    {
        const bool isServed = isServedAtLimit(name, node.front());
        std::printf("%-20s %s\n", name.c_str(), isServed ? "served" : "NOT SERVED");
        return isServed && !node.hasJustEnded() ? Passed : Failed;
    }

    /// Writes a configuration with a workspace for ordinary callers and one, with a rate limit, for the crowd.
    void configureWorkspaces(Review::World& world, long version)
    {
        using Review::Json;
        const auto workspace = [](const char* name, const char* key, double rate) {
            return Json::object({ { "name", name }, { "api_keys", Json::array({ Json(key) }) },
                { "requests_per_s", rate }, { "burst_size", rate } });
        };
        constexpr double crowdRate = 5;
        const Json service
            = Json::object({ { "name", "model" }, { "health_check_path", "/health" }, { "max_connections", 180 },
                { "protocol", "h1" }, { "tls", false }, { "engine", Json::object({ { "slots", 16 } }) } });
        const Json limits = Json::object({ { "max_header_bytes", 16'384 }, { "max_body_bytes", 4'194'304 },
            { "header_timeout_ms", 3'000 }, { "idle_timeout_ms", 15'000 } });
        world.store.put("op", "config",
            Json::object({ { "version", version },
                             { "routes", Json::array({ Review::World::streamRoute("/stream/", "model") }) },
                             { "services", Json::array({ service }) }, { "limits", limits },
                             { "tenants",
                                 Json::array({ workspace("ordinary", ordinaryKey, 0),
                                     workspace("crowd", crowdKey, crowdRate) }) } })
                .dump());
    }

    /// Adds the endpoints and writes the configuration.
    void configure(Review::World& world, CrowdKind::Deployment deployment)
    {
        constexpr long version = 7;
        constexpr double neverMs = 1e9;
        const std::vector<Review::Json> ordinary { Review::World::streamRoute("/stream/", "model") };
        world.addWorker({ .id = "w-1", .service = "model", .zone = "zone-b", .slots = 16, .eventMs = 1 });
        switch (deployment) {
        case CrowdKind::Deployment::Plain:
            world.configure(version, ordinary, { "model" });
            break;
        case CrowdKind::Deployment::Workspaces:
            configureWorkspaces(world, version);
            break;
        case CrowdKind::Deployment::SilentEndpoint:
            world.addWorker({ .id = "w-2", .service = "silent", .zone = "zone-b", .slots = 16, .eventMs = neverMs });
            world.configure(
                version, { ordinary.front(), Review::World::streamRoute("/silent/", "silent") }, { "model", "silent" });
            break;
        case CrowdKind::Deployment::Batch:
            world.configure(version, { ordinary.front(), Review::World::batchRoute("/lots/", "model") }, { "model" });
            break;
        }
    }

    /// Starts a node and passes it to the check.
    int run(CrowdKind::Deployment deployment, const std::function<int(SoakNode&)>& check)
    {
        const std::string folder = makeFolder();
        // The threads of the stand-ins are not joined, so they are not destroyed.
        auto* world = new Review::World(folder);
        configure(*world, deployment);
        SoakNode node({ FLAGS_daemon, writeTemplate(folder) }, 1, world->store.address(), folder);
        limitDescriptors(maxDescriptors);
        node.start();
        // The child inherits the limit when it is created.
        limitDescriptors(ownDescriptors);
        const bool isReady = Review::World::waitFor([&] { return node.isReady(); }, 20'000)
            && sendOrdinaryRequest(node.front()).status == 200;
        if (!isReady) {
            std::printf("the node is not ready, see %s\n", folder.c_str());
            return CouldNotRun;
        }
        const int status = check(node);
        node.kill();
        if (status == Passed)
            std::filesystem::remove_all(folder);
        return status;
    }

}

}

/// Plays a crowd against one node. Exits with 1 if the node has ended, used more than its machine has, or did not
/// answer an ordinary request afterwards, and with 2 if the test could not run.
int main(int argc, char** argv)
{
    using namespace Chicorydock;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    const auto kind = std::ranges::find(crowdKinds(), FLAGS_crowd, &CrowdKind::name);
    const auto request = std::ranges::find(limitRequests(), FLAGS_request);
    if (kind == crowdKinds().end() && request == limitRequests().end()) {
        for (const CrowdKind& it : crowdKinds())
            std::printf("%s\n", it.name.c_str());
        return CouldNotRun;
    }
    const auto deployment = kind == crowdKinds().end() ? CrowdKind::Deployment::Plain : kind->deployment;
    const int status = run(deployment, [&](SoakNode& node) {
        return request != limitRequests().end() ? checkAtLimit(*request, node) : check(*kind, node);
    });
    std::fflush(stdout);
    ::_exit(status);
}
