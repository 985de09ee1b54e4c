#pragma once

#include "BatchCaller.h"
#include "Judge.h"
#include "Schedule.h"
#include "SoakEndpoint.h"

#include <standins/Record.h>

#include <optional>

namespace Chicorydock {

struct PlayOptions {
    uint64_t seed { 1 };
    ScheduleOptions schedule;
    SoakNode::Program program;
    /// Deadline of streams and timeout of their routes.
    unsigned streamLimitMs { 5'000 };
    /// Receives the settings and logs of the nodes.
    std::string folder;
    std::string recordFile;
};

/// Plays one seed: processes of the daemon, stand-ins of the platform and of the endpoints, callers, and what the
/// schedule does to them. The threads of the stand-ins run until the end of the program, so it is never destroyed.
class Play {
public:
    explicit Play(PlayOptions);

    /// Plays the schedule, and the end in calm. Returns nothing if the nodes are never ready.
    std::optional<Verdict> run();

private:
    void startAll();
    bool waitUntilReady();
    void balance();
    void playSchedule();
    void play(const Step&);
    void terminate(size_t node);
    /// Kills what outlasts its grace time, and starts again what has ended.
    void care();
    void configure();
    Review::Json route(RequestKind, const std::string& service, double timeoutMs) const;
    Verdict verdict();
    std::vector<std::string> endInCalm();

    const PlayOptions m_options;
    Review::Record m_record;
    Review::Store m_store;
    StoreFront m_front;
    Ledger<Run> m_runs;
    Ledger<Exchange> m_exchanges;
    std::atomic<bool> m_isOver { false };
    std::vector<SoakEndpoint*> m_endpoints;
    Nodes m_nodes;
    BatchCaller m_batch;
    std::mt19937_64 m_random;
    long m_version { 0 };
    std::map<RequestKind, double> m_timeoutMs;
    struct Care {
        double startAt { 0 };
        double terminateAt { 0 };
        bool isTerminatedInStart { false };
    };
    std::vector<Care> m_care;
    size_t m_stops { 0 };
};

}
