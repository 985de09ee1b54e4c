#pragma once

#include <LibEndpoint/EndpointClient.h>

#include <list>

namespace Chicorydock {

/// Records calls. The test acts as the endpoint by calling their observers. Not thread safe.
class FakeEndpointClient final : public EndpointClient {
public:
    struct Generation {
        GenerationRequest request;
        GenerationObserver* observer { nullptr };
        bool isCancelled { false };
    };

    struct Call {
        HttpCallRequest request;
        HttpCallObserver* observer { nullptr };
        bool isCancelled { false };
    };

    /// All calls so far, oldest first.
    std::list<Generation> generations;
    std::list<Call> calls;

    std::unique_ptr<HttpCall> generate(const GenerationRequest& request, GenerationObserver& observer) override
    {
        generations.push_back({ request, &observer });
        return std::make_unique<Handle>(generations.back().isCancelled);
    }

    std::unique_ptr<HttpCall> call(const HttpCallRequest& request, HttpCallObserver& observer) override
    {
        calls.push_back({ request, &observer });
        return std::make_unique<Handle>(calls.back().isCancelled);
    }

    std::unique_ptr<HttpCall> readState(const std::string&, StateCallback) override { return {}; }
    std::unique_ptr<HttpCall> readLoad(const std::string&, LoadCallback) override { return {}; }
    std::unique_ptr<HttpCall> readCacheEvents(const std::string&, uint64_t, EventsCallback) override { return {}; }
    std::unique_ptr<HttpCall> order(const std::string&, const EndpointOrder&, OrderCallback) override { return {}; }

private:
    class Handle final : public HttpCall {
    public:
        explicit Handle(bool& isCancelled)
            : m_isCancelled(isCancelled)
        {
        }
        ~Handle() override { m_isCancelled = true; }

        void setPaused(bool) override { }

    private:
        bool& m_isCancelled;
    };
};

}
