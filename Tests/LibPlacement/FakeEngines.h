#pragma once

#include <LibEndpoint/EndpointClient.h>
#include <Tests/Support/SimulatedClock.h>

#include <algorithm>
#include <map>

namespace Chicorydock {

/// In-memory engines that answer on a simulated clock. Each client belongs to one controller.
class FakeEngines {
public:
    struct Engine {
        EndpointState state;
        bool checksFencing { true };
        bool isReachable { true };
        /// Received orders, oldest first.
        std::vector<EndpointOrder> orders;
    };

    explicit FakeEngines(SimulatedClock& clock)
        : m_clock(clock)
    {
    }

    Engine& at(const std::string& address) { return m_engines[address]; }
    std::map<std::string, Engine>& all() { return m_engines; }

    /// Carries out an order and returns its outcome. An engine holds one version of a model.
    OrderOutcome apply(const std::string& address, const EndpointOrder& order)
    {
        Engine& engine = m_engines[address];
        engine.orders.push_back(order);
        if (engine.checksFencing && order.fencingNumber < engine.state.fencingNumber)
            return OrderOutcome::StaleFencingNumber;
        if (engine.checksFencing)
            engine.state.fencingNumber = order.fencingNumber;
        std::erase_if(engine.state.models, [&](const auto& it) { return it.model == order.model.model; });
        if (order.kind == EndpointOrder::Kind::Load)
            engine.state.models.push_back(order.model);
        return OrderOutcome::Done;
    }

    void schedule(Milliseconds delay, std::function<void()> function)
    {
        m_events.emplace(m_clock.now() + delay, std::move(function));
    }

    void runDue()
    {
        while (!m_events.empty() && m_events.begin()->first <= m_clock.now())
            m_events.extract(m_events.begin()).mapped()();
    }

    class Client final : public EndpointClient {
    public:
        explicit Client(FakeEngines& engines)
            : m_engines(engines)
        {
        }

        std::unique_ptr<HttpCall> generate(const GenerationRequest&, GenerationObserver&) override { return {}; }
        std::unique_ptr<HttpCall> call(const HttpCallRequest&, HttpCallObserver&) override { return {}; }
        std::unique_ptr<HttpCall> readLoad(const std::string&, LoadCallback) override { return {}; }
        std::unique_ptr<HttpCall> readCacheEvents(const std::string&, uint64_t, EventsCallback) override { return {}; }

        std::unique_ptr<HttpCall> readState(const std::string& address, StateCallback callback) override
        {
            auto handle = std::make_unique<Handle>();
            m_engines.schedule(Milliseconds { 5 },
                [this, address, callback = std::move(callback), alive = std::weak_ptr(handle->alive)] {
                    const Engine& engine = m_engines.at(address);
                    if (!alive.expired())
                        callback(engine.isReachable ? std::optional(engine.state) : std::nullopt);
                });
            return handle;
        }

        std::unique_ptr<HttpCall> order(
            const std::string& address, const EndpointOrder& order, OrderCallback callback) override
        {
            auto handle = std::make_unique<Handle>();
            m_inFlight = m_inFlight + 1;
            maxInFlight = std::max(maxInFlight, m_inFlight);
            m_engines.schedule(orderDelay,
                [this, address, order, callback = std::move(callback), alive = std::weak_ptr(handle->alive)] {
                    --m_inFlight;
                    // The order takes effect even if the call was cancelled.
                    const OrderOutcome outcome
                        = m_engines.at(address).isReachable ? m_engines.apply(address, order) : OrderOutcome::Unknown;
                    if (!alive.expired())
                        callback(outcome);
                });
            return handle;
        }

        Milliseconds orderDelay { 500 };
        size_t maxInFlight { 0 };

    private:
        struct Handle final : HttpCall {
            void setPaused(bool) override { }

            std::shared_ptr<bool> alive { std::make_shared<bool>() };
        };

        FakeEngines& m_engines;
        size_t m_inFlight { 0 };
    };

private:
    SimulatedClock& m_clock;
    std::map<std::string, Engine> m_engines;
    std::multimap<MonotonicTime, std::function<void()>> m_events;
};

}
