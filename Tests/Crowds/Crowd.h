#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <vector>

namespace Chicorydock {

/// Callers that keep to no limit, all of one kind.
struct CrowdKind {
    /// Port of the node that the callers connect to.
    enum class Port {
        Callers,
        Status,
        Peers,
    };

    /// What the configuration holds besides the route of ordinary requests.
    enum class Deployment {
        Plain,
        /// Workspaces: one for ordinary callers, and one with a rate limit for the crowd.
        Workspaces,
        /// A route to an endpoint that never answers.
        SilentEndpoint,
        /// A route of batch jobs.
        Batch,
    };

    std::string name;
    size_t connections { 0 };
    /// Sent first on each connection.
    std::string opening {};
    /// Sent again and again after that, without an end. Nothing if empty.
    std::string repeated {};
    /// Resets the connection as soon as the opening has been sent.
    bool isReset { false };
    Port port { Port::Callers };
    Deployment deployment { Deployment::Plain };
};

/// The keys of the workspaces of ordinary callers and of the crowd.
inline const char* const ordinaryKey = "ordinary-key";
inline const char* const crowdKey = "crowd-key";

/// All kinds of crowds that are tested.
const std::vector<CrowdKind>& crowdKinds();

/// Plays one crowd on a thread. It reads no response, and each caller comes back when its connection is closed.
///
/// Thread safety: used on one thread.
class Crowd {
public:
    Crowd(const CrowdKind&, std::string address);
    ~Crowd();

    Crowd(const Crowd&) = delete;
    Crowd& operator=(const Crowd&) = delete;

    /// Sends for that long, then returns with the connections open.
    void play(double ms);

    /// Returns the number of connections opened so far.
    size_t opened() const { return m_opened; }

private:
    struct Caller {
        int descriptor { -1 };
        /// Bytes of the opening, then of the current repetition, that were sent.
        size_t sent { 0 };
        bool hasOpened { false };
    };

    void open(Caller&);
    static void close(Caller&);
    void send(Caller&);

    const CrowdKind& m_kind;
    const std::string m_address;
    /// What is sent after the opening, many repetitions at once.
    const std::string m_repeated;
    std::vector<Caller> m_callers;
    size_t m_opened { 0 };
};

}
