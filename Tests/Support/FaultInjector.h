#pragma once

#include <LibCore/Error.h>
#include <LibCore/SeededRandom.h>

#include <functional>
#include <mutex>
#include <utility>

namespace Chicorydock {

/// Decides which calls to the platform fail, from a seed.
///
/// Thread safety: all methods may be called from any thread, except that `setWriteHook()` may be called only before the
/// first call.
class FaultInjector {
public:
    explicit FaultInjector(uint64_t seed)
        : m_random(seed)
    {
    }

    /// During an outage no call has an effect.
    void setOutage(bool outage)
    {
        const std::lock_guard guard(m_mutex);
        m_outage = outage;
    }

    /// Sets the share of writes whose response is lost after the write took effect.
    void setLostResponseShare(double share)
    {
        const std::lock_guard guard(m_mutex);
        m_lostResponseShare = share;
    }

    /// Sets the share of writes that are lost before they take effect. The caller cannot distinguish these from writes
    /// with a lost response.
    void setLostRequestShare(double share)
    {
        const std::lock_guard guard(m_mutex);
        m_lostRequestShare = share;
    }

    /// The next `n` writes take effect, but their responses are lost.
    void loseResponses(uint32_t n)
    {
        const std::lock_guard guard(m_mutex);
        m_responsesToLose = n;
    }

    /// The next write takes effect, its response is lost, and an outage follows.
    void startOutageAfterWrite()
    {
        const std::lock_guard guard(m_mutex);
        m_responsesToLose = 1;
        m_startsOutageAfterWrite = true;
    }

    /// Sets a function that runs before each write. No lock is held while it runs.
    void setWriteHook(std::function<void()> hook) { m_writeHook = std::move(hook); }

    template <typename Function> auto read(Function function)
    {
        checkOutage();
        return function();
    }

    template <typename Function> auto write(Function function)
    {
        if (m_writeHook)
            m_writeHook();
        checkOutage();
        if (drawFault(m_lostRequestShare))
            throw Error(ErrorKind::OutcomeUnknown, "injected: request lost");
        if (!loseResponse())
            return function();
        function();
        throw Error(ErrorKind::OutcomeUnknown, "injected: response lost");
    }

private:
    void checkOutage()
    {
        const std::lock_guard guard(m_mutex);
        if (m_outage)
            throw Error(ErrorKind::PlatformUnavailable, "injected: outage");
    }

    bool drawFault(const double& share)
    {
        const std::lock_guard guard(m_mutex);
        return share > 0 && m_random.unit() < share;
    }

    bool loseResponse()
    {
        {
            const std::lock_guard guard(m_mutex);
            if (m_responsesToLose > 0) {
                --m_responsesToLose;
                m_outage = m_outage || std::exchange(m_startsOutageAfterWrite, false);
                return true;
            }
        }
        return drawFault(m_lostResponseShare);
    }

    std::mutex m_mutex;
    SeededRandom m_random;
    std::function<void()> m_writeHook;
    bool m_outage { false };
    bool m_startsOutageAfterWrite { false };
    double m_lostResponseShare { 0 };
    double m_lostRequestShare { 0 };
    uint32_t m_responsesToLose { 0 };
};

}
