#pragma once

#include <LibBatch/ItemExecutor.h>
#include <LibCore/Random.h>

#include <map>
#include <unordered_map>

namespace Chicorydock {

/// An executor with a fixed limit of items in flight that completes each item after a random time. Not thread safe.
class TimedExecutor final : public ItemExecutor {
public:
    TimedExecutor(const Clock& clock, Random& random, uint32_t limit, double meanSeconds)
        : m_clock(clock)
        , m_random(random)
        , m_limit(limit)
        , m_meanSeconds(meanSeconds)
    {
    }

    Handle execute(const BatchItem&, Callback callback) override
    {
        // Uniform from half to one and a half times the mean.
        const double seconds = m_meanSeconds * (0.5 + m_random.unit());
        const auto it
            = m_running.emplace(m_clock.now() + fromSeconds(seconds), Entry { ++m_lastHandle, std::move(callback) });
        m_positions.emplace(m_lastHandle, it);
        return m_lastHandle;
    }

    void cancel(Handle handle) override
    {
        const auto it = m_positions.find(handle);
        if (it == m_positions.end())
            return;
        const Callback callback = std::move(it->second->second.callback);
        m_running.erase(it->second);
        m_positions.erase(it);
        callback({ ItemOutcome::Kind::NotRun, {} });
    }

    uint32_t freeCapacity(const std::string&) const override
    {
        return m_limit - static_cast<uint32_t>(m_running.size());
    }

    /// Completes the items whose time has elapsed.
    void poll()
    {
        while (!m_running.empty() && m_running.begin()->first <= m_clock.now()) {
            const Entry entry = std::move(m_running.begin()->second);
            m_running.erase(m_running.begin());
            m_positions.erase(entry.handle);
            entry.callback({ ItemOutcome::Kind::Completed, { 200, {} } });
        }
    }

private:
    struct Entry {
        Handle handle { 0 };
        Callback callback;
    };
    using Running = std::multimap<MonotonicTime, Entry>;

    const Clock& m_clock;
    Random& m_random;
    uint32_t m_limit;
    double m_meanSeconds;
    Running m_running;
    std::unordered_map<Handle, Running::iterator> m_positions;
    Handle m_lastHandle { 0 };
};

}
