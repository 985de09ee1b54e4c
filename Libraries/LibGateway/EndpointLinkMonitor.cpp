#include <LibGateway/EndpointLinkMonitor.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace Chicorydock {

namespace {

    /// Consecutive probes that must succeed, most likely at different endpoints.
    constexpr int requiredProbes = 2;

}

EndpointLinkMonitor::EndpointLinkMonitor(
    const Clock& clock, Random& random, const EndpointDirectory& directory, EndpointProber& prober, EventLog& log)
    : m_clock(clock)
    , m_random(random)
    , m_directory(directory)
    , m_prober(prober)
    , m_log(log)
{
}

EndpointLinkMonitor::~EndpointLinkMonitor() { *m_lifetime = false; }

void EndpointLinkMonitor::recordFailure(const std::string& endpoint, MonotonicTime sentAt)
{
    const MonotonicTime now = m_clock.now();
    m_links.recordFailure(endpoint, sentAt, now);
    if (!m_areLost && m_links.areLost(now))
        setLost(true);
}

void EndpointLinkMonitor::recordResponse(const std::string& endpoint, MonotonicTime sentAt)
{
    m_links.recordResponse(endpoint, sentAt, m_clock.now());
}

Milliseconds EndpointLinkMonitor::lostFor() const
{
    if (!m_areLost)
        return Milliseconds { 0 };
    return std::max(Milliseconds { 1 }, std::chrono::duration_cast<Milliseconds>(m_clock.now() - m_lostAt));
}

void EndpointLinkMonitor::tick()
{
    if (!m_areLost || m_isProbing)
        return;
    const std::vector<EndpointRecord> endpoints = m_directory.usable();
    if (endpoints.empty())
        return;
    m_isProbing = true;
    m_prober.probe(
        endpoints[m_random.below(endpoints.size())].address, [this, lifetime = m_lifetime](bool isReachable) {
            if (*lifetime)
                handleProbe(isReachable);
        });
}

void EndpointLinkMonitor::handleProbe(bool isReachable)
{
    m_isProbing = false;
    m_successfulProbes = isReachable ? m_successfulProbes + 1 : 0;
    if (m_areLost && m_successfulProbes >= requiredProbes)
        setLost(false);
}

void EndpointLinkMonitor::setLost(bool areLost)
{
    const MonotonicTime now = m_clock.now();
    QJsonObject details;
    if (!areLost)
        details["lost_ms"] = static_cast<qint64>(std::chrono::duration_cast<Milliseconds>(now - m_lostAt).count());
    m_log.record("endpoints", areLost ? "lost" : "regained", "", {}, details);
    m_areLost = areLost;
    m_lostAt = now;
    m_successfulProbes = 0;
    m_links.reset();
    if (m_onChanged)
        m_onChanged();
}

}
