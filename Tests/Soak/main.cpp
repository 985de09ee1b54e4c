#include "Play.h"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <sys/wait.h>

DEFINE_uint64(seed, 1, "first seed");
DEFINE_uint64(seeds, 1, "number of seeds");
DEFINE_double(seconds, 40, "duration of the play of a seed, without start and end");
DEFINE_uint64(nodes, 12, "number of processes of the daemon");
DEFINE_string(daemon, SOAK_DAEMON, "program of the daemon");
DEFINE_string(settings_template, SOAK_SETTINGS, "template of the settings of this daemon");
DEFINE_string(record, "soak", "file that receives what happened; the seed is added to its name");
DEFINE_uint32(stream_ms, 5'000, "deadline of streams and timeout of their routes");
DEFINE_bool(stops_only, false, "only SIGTERM, beside a store that drops its history and closes connections");

namespace Chicorydock {

namespace {

    constexpr int foundNothing = 0;
    constexpr int foundSomething = 1;
    constexpr int couldNotRun = 2;

    [[noreturn]] void playSeed(uint64_t seed)
    {
        const std::string record = FLAGS_record + '-' + std::to_string(seed);
        const std::string folder = record + ".logs";
        std::filesystem::remove_all(folder);
        std::filesystem::create_directories(folder);
        // It is not destroyed, because the threads of the stand-ins use it until the end of the program.
        auto* const play = new Play({ .seed = seed,
            .schedule = { .nodes = FLAGS_nodes, .durationMs = FLAGS_seconds * 1'000, .stopsOnly = FLAGS_stops_only },
            .program = { FLAGS_daemon, FLAGS_settings_template },
            .streamLimitMs = FLAGS_stream_ms,
            .folder = folder,
            .recordFile = record });
        const auto verdict = play->run();
        if (!verdict) {
            std::printf(
                "seed %llu: the nodes are not ready, see %s\n", static_cast<unsigned long long>(seed), folder.c_str());
            std::fflush(stdout);
            ::_exit(couldNotRun);
        }
        std::printf("seed=%llu nodes=%llu findings=%zu notes=%zu", static_cast<unsigned long long>(seed),
            static_cast<unsigned long long>(FLAGS_nodes), verdict->findings.size(), verdict->notes.size());
        for (const auto& [name, count] : verdict->counts)
            std::printf("; %s: %zu", name.c_str(), count);
        std::printf("\n");
        for (const std::string& it : verdict->findings)
            std::printf("  %s\n", it.c_str());
        std::fflush(stdout);
        if (verdict->findings.empty() && verdict->notes.empty())
            std::filesystem::remove_all(folder);
        ::_exit(verdict->findings.empty() ? foundNothing : foundSomething);
    }

    /// Plays a seed in a process of its own. Returns its exit status.
    int run(uint64_t seed)
    {
        const pid_t pid = ::fork();
        if (pid == 0)
            playSeed(seed);
        int status = 0;
        ::waitpid(pid, &status, 0);
        return WIFEXITED(status) ? WEXITSTATUS(status) : couldNotRun;
    }

}

}

/// Plays seeds one after the other. Exits with 1 if a rule was broken, and with 2 if a seed could not run.
int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    int worst = 0;
    for (uint64_t seed = FLAGS_seed; seed < FLAGS_seed + FLAGS_seeds; ++seed)
        worst = std::max(worst, Chicorydock::run(seed));
    return worst;
}
