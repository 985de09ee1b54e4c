#pragma once

#include <LibHTTP/HttpClient.h>

#include <memory>
#include <utility>
#include <vector>

namespace Chicorydock {

/// Records calls and lets the test respond to them. Not thread-safe.
class FakeHttpClient final : public HttpClient {
public:
    struct Call {
        HttpCallRequest request;
        HttpCallObserver* observer { nullptr };
        bool isCancelled { false };
        bool isPaused { false };
    };

    std::unique_ptr<HttpCall> start(const HttpCallRequest& request, HttpCallObserver& observer) override
    {
        m_calls.push_back(std::make_shared<Call>(Call { request, &observer }));
        return std::make_unique<Handle>(m_calls.back());
    }

    size_t count() const { return m_calls.size(); }
    Call& call(size_t n) { return *m_calls.at(n); }
    Call& last() { return *m_calls.back(); }

    /// These methods respond to the most recent call as an endpoint would.
    void handOver() { last().observer->onHandedOver(); }
    void headers(int status, HttpHeaders headers = { { "Server-Signature", "s" } })
    {
        last().observer->onHeaders(status, headers);
    }
    void data(const QByteArray& bytes) { last().observer->onData(bytes); }
    void finish() { last().observer->onFinished(); }
    void fail(HttpFailure::Phase phase) { last().observer->onFailed({ phase, HttpFailure::Reason::Closed, "test" }); }

private:
    class Handle final : public HttpCall {
    public:
        explicit Handle(std::shared_ptr<Call> call)
            : m_call(std::move(call))
        {
        }
        ~Handle() override { m_call->isCancelled = true; }

        void setPaused(bool isPaused) override { m_call->isPaused = isPaused; }

    private:
        std::shared_ptr<Call> m_call;
    };

    std::vector<std::shared_ptr<Call>> m_calls;
};

}
