#pragma once

#include <atomic>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Chicorydock {

/// A process of the daemon under test, and what was done to it. Times are milliseconds since the start of the program.
///
/// Thread safety: `front()`, `takesConnections` and the like may be read from any thread, all else belongs to the
/// thread that plays the schedule.
class SoakNode {
public:
    /// One start of the process. A time is 0 if it has not come.
    struct Life {
        double startedAt { 0 };
        double terminatedAt { 0 };
        double reloadedAt { 0 };
        double endedAt { 0 };
        /// Times of SIGKILL before the end of the grace time, of SIGSTOP and of SIGCONT: the unplanned disruptions.
        std::vector<double> disruptions;
    };

    /// Time between SIGTERM and the planned SIGKILL.
    static constexpr double graceMs = 8'000;

    struct Program {
        std::string daemon;
        std::string settingsTemplate;
    };

    /// `folder` receives the settings and the log.
    SoakNode(Program, size_t number, std::string store, std::string folder);
    ~SoakNode();

    SoakNode(const SoakNode&) = delete;
    SoakNode& operator=(const SoakNode&) = delete;

    const std::string& name() const { return m_name; }
    std::string front() const { return address(0); }
    std::string status() const { return address(1); }
    std::string peer() const { return address(3); }
    /// Process id, 0 if the process does not run.
    pid_t pid() const { return m_pid; }
    const std::vector<Life>& lives() const { return m_lives; }
    bool isRunning() const { return m_pid > 0; }
    bool isReady() const;

    void start();
    /// Sends the signal, if the process runs, and notes it.
    void signal(int number);
    /// Notices the end of the process. Returns whether it has just ended.
    bool hasJustEnded();
    /// Ends the process and waits for that.
    void kill();

    /// Whether the load balancer sends new connections to the node.
    std::atomic<bool> takesConnections { false };

private:
    std::string address(size_t port) const { return "127.0.0.1:" + std::to_string(m_ports[port]); }
    std::string settings() const;

    const Program m_program;
    const std::string m_name;
    const std::string m_zone;
    const std::string m_region;
    const std::string m_store;
    const std::string m_folder;
    /// Ports for callers, for the status, for RPC and for peers.
    std::vector<uint16_t> m_ports;
    pid_t m_pid { 0 };
    std::vector<Life> m_lives;
};

}
