#pragma once

#include <LibCore/Error.h>
#include <LibCore/SeededRandom.h>

#include <functional>
#include <mutex>

namespace Chicorydock {

/// Decides which calls to the platform fail, from a seed.
///
/// Thread safety: all methods may be called from any thread; `setWriteHook()` before the first call only.
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

    /// Sets the share of writes that are lost before they take effect, which the caller cannot tell from the above.
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

    /// Sets a function that runs before each write, without a lock held.
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
        if (decide(m_lostRequestShare))
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

    bool decide(const double& share)
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
                return true;
            }
        }
        return decide(m_lostResponseShare);
    }

    std::mutex m_mutex;
    SeededRandom m_random;
    std::function<void()> m_writeHook;
    bool m_outage { false };
    double m_lostResponseShare { 0 };
    double m_lostRequestShare { 0 };
    uint32_t m_responsesToLose { 0 };
};

}
