#pragma once

#include <LibCore/Random.h>
#include <LibGateway/EndpointDirectory.h>
#include <LibGateway/EndpointLinks.h>
#include <LibGateway/EndpointProber.h>
#include <LibLog/EventLog.h>

#include <functional>
#include <memory>
#include <string>

namespace Chicorydock {

/// Tracks whether this node reaches the endpoints. When it has lost them, it probes some until they can be reached
/// again, so that no request of a caller has to find out.
///
/// Thread safety: used on the thread that created it.
class EndpointLinkMonitor {
public:
    /// All parameters outlive the monitor.
    EndpointLinkMonitor(const Clock&, Random&, const EndpointDirectory&, EndpointProber&, EventLog&);
    ~EndpointLinkMonitor();

    /// Records an attempt that was sent at that time and at which no byte came from the endpoint.
    void recordFailure(const std::string& endpoint, MonotonicTime sentAt);

    /// Records an attempt that was sent at that time and to which the endpoint responded.
    void recordResponse(const std::string& endpoint, MonotonicTime sentAt);

    bool areLost() const { return m_areLost; }

    /// Returns the time for which the endpoints have been lost, 0 if they are not.
    Milliseconds lostFor() const;

    /// Sets the function to call when the endpoints were lost or can be reached again. It may be called from any method
    /// that records an attempt.
    void setChangedHandler(std::function<void()> handler) { m_onChanged = std::move(handler); }

    /// Probes an endpoint if they are lost. Must be called several times a second.
    void tick();

private:
    void handleProbe(bool isReachable);
    void setLost(bool);

    const Clock& m_clock;
    Random& m_random;
    const EndpointDirectory& m_directory;
    EndpointProber& m_prober;
    EventLog& m_log;
    EndpointLinks m_links;
    bool m_areLost { false };
    MonotonicTime m_lostAt;
    bool m_isProbing { false };
    /// Probes that succeeded since the latest one that did not.
    int m_successfulProbes { 0 };
    std::function<void()> m_onChanged;
    std::shared_ptr<bool> m_lifetime { std::make_shared<bool>(true) };
};

}
