#pragma once

#include <LibCore/SeededRandom.h>
#include <LibMembership/PeerLink.h>
#include <Tests/Support/SimulatedClock.h>

#include <algorithm>
#include <functional>
#include <map>

namespace Chicorydock {

/// A network in memory on a simulated clock, with seeded delays, losses and cuts. Not thread safe.
class SimulatedNetwork {
public:
    /// Handlers of the calls that a node receives.
    struct Handlers {
        std::function<PeerMessage(const PeerMessage&)> exchange;
        std::function<std::optional<std::string>(uint64_t, uint64_t)> fetchRevision;
    };

    SimulatedNetwork(SimulatedClock& clock, uint64_t seed)
        : m_clock(clock)
        , m_random(seed)
    {
    }

    void attach(const std::string& address, Handlers handlers) { m_handlers[address] = std::move(handlers); }
    void detach(const std::string& address) { m_handlers.erase(address); }
    void setLoss(double loss) { m_loss = loss; }
    void setMaxDelay(Milliseconds delay) { m_maxDelay = delay; }
    /// Sets a predicate that decides whether messages from the first address to the second are delivered.
    void setDeliveryFilter(std::function<bool(const std::string&, const std::string&)> isDelivered)
    {
        m_deliveryFilter = std::move(isDelivered);
    }
    /// Sets a function that is called for every message sent, with the addresses of sender and receiver.
    void setTap(std::function<void(const std::string&, const std::string&, const PeerMessage&)> tap)
    {
        m_tap = std::move(tap);
    }

    /// Runs the function after the delay, as a timer of the process at `owner`.
    void schedule(const std::string& owner, MonotonicTime::duration delay, std::function<void()> function)
    {
        m_events.emplace(m_clock.now() + delay, Event { owner, true, std::move(function) });
    }

    /// Suspends the process at the address. Its messages and timers are queued until `resume()`.
    void pause(const std::string& address) { m_paused[address]; }
    /// Resumes the process. Its timers run before it reads the messages received, as in an event loop.
    void resume(const std::string& address)
    {
        auto waiting = m_paused.extract(address);
        std::vector<Event>& events = waiting.mapped();
        std::stable_partition(events.begin(), events.end(), [](const Event& it) { return it.isTimer; });
        for (const Event& it : events)
            it.function();
    }

    /// Runs the events up to `end` and sets the clock to it.
    void runUntil(MonotonicTime end)
    {
        while (!m_events.empty() && m_events.begin()->first <= end) {
            auto event = m_events.extract(m_events.begin());
            m_clock.advance(event.key() - m_clock.now());
            const auto paused = m_paused.find(event.mapped().owner);
            if (paused == m_paused.end())
                event.mapped().function();
            else
                paused->second.push_back(std::move(event.mapped()));
        }
        m_clock.advance(end - m_clock.now());
    }

    /// The connection of one node to the network.
    class Link final : public PeerLink {
    public:
        Link(SimulatedNetwork& network, std::string address)
            : m_network(network)
            , m_address(std::move(address))
        {
        }

        void exchange(
            const std::string& to, const PeerMessage& message, Milliseconds timeout, MessageCallback callback) override
        {
            m_network.tap(m_address, to, message);
            m_network.call<PeerMessage>(
                m_address, to, timeout,
                [this, to, message](Handlers& handlers) {
                    PeerMessage reply = handlers.exchange(message);
                    m_network.tap(to, m_address, reply);
                    return std::optional(std::move(reply));
                },
                std::move(callback));
        }

        void fetchRevision(const std::string& to, uint64_t revision, uint64_t held, Milliseconds timeout,
            RevisionCallback callback) override
        {
            m_network.call<std::string>(
                m_address, to, timeout,
                [revision, held](Handlers& handlers) { return handlers.fetchRevision(revision, held); },
                std::move(callback));
        }

        void yieldBatch(const std::string&, const std::string&, const std::string&) override { }

    private:
        SimulatedNetwork& m_network;
        std::string m_address;
    };

private:
    struct Event {
        std::string owner;
        bool isTimer;
        std::function<void()> function;
    };

    void tap(const std::string& from, const std::string& to, const PeerMessage& message)
    {
        if (m_tap)
            m_tap(from, to, message);
    }

    bool isDelivered(const std::string& from, const std::string& to)
    {
        return (!m_deliveryFilter || m_deliveryFilter(from, to)) && m_random.unit() >= m_loss;
    }

    void deliver(const std::string& to, std::function<void()> function)
    {
        m_events.emplace(m_clock.now() + delay(), Event { to, false, std::move(function) });
    }

    MonotonicTime::duration delay() { return fromSeconds(toSeconds(m_maxDelay) * (0.1 + 0.9 * m_random.unit())); }

    template <typename Result>
    void call(const std::string& from, const std::string& to, Milliseconds timeout,
        std::function<std::optional<Result>(Handlers&)> handle, std::function<void(std::optional<Result>)> callback)
    {
        // The callback runs once, for the reply or the timeout.
        auto pending = std::make_shared<std::function<void(std::optional<Result>)>>(std::move(callback));
        const auto finish = [pending](std::optional<Result> result) {
            if (auto function = std::exchange(*pending, {}))
                function(std::move(result));
        };
        schedule(from, timeout, [finish] { finish({}); });
        if (!isDelivered(from, to))
            return;
        deliver(to, [this, from, to, handle = std::move(handle), finish] {
            const auto it = m_handlers.find(to);
            if (it == m_handlers.end())
                return;
            auto result = handle(it->second);
            if (isDelivered(to, from))
                deliver(from, [finish, result = std::move(result)] { finish(result); });
        });
    }

    SimulatedClock& m_clock;
    SeededRandom m_random;
    std::map<std::string, Handlers> m_handlers;
    std::multimap<MonotonicTime, Event> m_events;
    std::map<std::string, std::vector<Event>> m_paused;
    std::function<bool(const std::string&, const std::string&)> m_deliveryFilter;
    std::function<void(const std::string&, const std::string&, const PeerMessage&)> m_tap;
    double m_loss { 0 };
    Milliseconds m_maxDelay { 10 };
};

}
