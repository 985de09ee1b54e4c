#pragma once

#include <LibCore/Clock.h>

#include <QAbstractEventDispatcher>
#include <QCoreApplication>
#include <QThread>
#include <QTimerEvent>

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace Chicorydock {

/// Timers of one thread on simulated time. Each timer belongs to the owner that was set when it was started, so that
/// the timers of one simulated node can be suspended. Used through `runOnSimulatedTime()`.
///
/// Thread safety: none.
class SimulatedEventLoop final : public QAbstractEventDispatcher {
public:
    /// Whether timers that are started from now on are as late as Qt allows: 5% of their interval unless they are
    /// precise.
    bool areCoarseTimersLate { false };

    /// Sets the owner of the timers that are started from now on.
    void setOwner(int owner) { m_owner = owner; }

    void freeze(int owner) { m_frozen.insert(owner); }
    void thaw(int owner) { m_frozen.erase(owner); }
    bool isFrozen(int owner) const { return m_frozen.contains(owner); }

    /// Advances the time and fires the timers that are due, except those of frozen owners.
    void advance(Milliseconds time)
    {
        m_now += time.count();
        for (int id = nextDue(); id >= 0; id = nextDue())
            fire(id);
    }

    // QAbstractEventDispatcher
    bool processEvents(QEventLoop::ProcessEventsFlags) override
    {
        QCoreApplication::sendPostedEvents();
        return true;
    }
    void registerSocketNotifier(QSocketNotifier*) override { }
    void unregisterSocketNotifier(QSocketNotifier*) override { }
    void registerTimer(int id, qint64 interval, Qt::TimerType type, QObject* object) override
    {
        const bool isLate = areCoarseTimersLate && type != Qt::PreciseTimer;
        m_timers[id] = { m_now + interval + (isLate ? interval / 20 : 0), interval, object, m_owner };
    }
    bool unregisterTimer(int id) override { return m_timers.erase(id) > 0; }
    bool unregisterTimers(QObject* object) override
    {
        return std::erase_if(m_timers, [&](const auto& it) { return it.second.object == object; }) > 0;
    }
    QList<TimerInfo> registeredTimers(QObject*) const override { return {}; }
    int remainingTime(int id) override
    {
        const auto it = m_timers.find(id);
        return it == m_timers.end() ? -1 : static_cast<int>(std::max<qint64>(0, it->second.dueAt - m_now));
    }
    void wakeUp() override { }
    void interrupt() override { }

private:
    struct Timer {
        qint64 dueAt { 0 };
        qint64 interval { 0 };
        QObject* object { nullptr };
        int owner { 0 };
    };

    int nextDue() const
    {
        int found = -1;
        for (const auto& [id, it] : m_timers) {
            const bool isDue = it.dueAt <= m_now && !m_frozen.contains(it.owner);
            if (isDue && (found < 0 || it.dueAt < m_timers.at(found).dueAt))
                found = id;
        }
        return found;
    }

    void fire(int id)
    {
        Timer& timer = m_timers.at(id);
        timer.dueAt = m_now + std::max<qint64>(1, timer.interval);
        m_owner = timer.owner;
        QTimerEvent event(id);
        QCoreApplication::sendEvent(timer.object, &event);
        QCoreApplication::sendPostedEvents();
    }

    qint64 m_now { 0 };
    int m_owner { 0 };
    std::map<int, Timer> m_timers;
    std::set<int> m_frozen;
};

/// Runs a function on a thread whose timers are on simulated time, and waits until it returns.
inline void runOnSimulatedTime(const std::function<void(SimulatedEventLoop&)>& function)
{
    class Thread final : public QThread {
    public:
        Thread(const std::function<void(SimulatedEventLoop&)>& function, SimulatedEventLoop& loop)
            : m_function(function)
            , m_loop(loop)
        {
        }

    private:
        void run() override { m_function(m_loop); }

        const std::function<void(SimulatedEventLoop&)>& m_function;
        SimulatedEventLoop& m_loop;
    };
    // The thread takes ownership in `setEventDispatcher()`.
    auto* loop = new SimulatedEventLoop;
    Thread thread(function, *loop);
    thread.setEventDispatcher(loop);
    thread.start();
    thread.wait();
}

}
