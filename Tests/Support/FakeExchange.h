#pragma once

#include <LibHTTP/HttpExchange.h>

namespace Chicorydock {

/// A request without a connection that records its answer. Not thread safe.
class FakeExchange final : public HttpExchange {
public:
    explicit FakeExchange(HttpRequest request)
        : m_request(std::move(request))
    {
    }

    /// The whole answer, or status and headers of the stream with the chunks as its body.
    std::optional<HttpResponse> response;
    bool isStream { false };
    bool isFinished { false };
    bool isAborted { false };
    /// Chunks of a stream since the test last cleared them.
    QByteArrayList chunks;

    void disconnect()
    {
        m_isGone = true;
        if (m_goneHandler)
            std::exchange(m_goneHandler, {})();
    }

    const HttpRequest& request() const override { return m_request; }
    void answer(const HttpResponse& completeResponse) override
    {
        if (m_isGone)
            return;
        Q_ASSERT(!response);
        response = completeResponse;
        isFinished = true;
    }
    void startStream(int status, const HttpHeaders& headers) override
    {
        response = HttpResponse { status, headers, {} };
        isStream = true;
    }
    void sendChunk(QByteArrayView chunk) override
    {
        chunks.append(chunk.toByteArray());
        response->body += chunk;
    }
    void finishStream() override { isFinished = true; }
    void abortStream() override { isAborted = true; }
    qint64 bytesToWrite() const override { return 0; }
    bool isCallerDisconnected() const override { return m_isGone; }
    void setCallerDisconnectedHandler(std::function<void()> handler) override { m_goneHandler = std::move(handler); }

private:
    HttpRequest m_request;
    std::function<void()> m_goneHandler;
    bool m_isGone { false };
};

}
