#pragma once

#include <LibHTTP/HttpExchange.h>

#include <functional>

namespace Chicorydock {

/// An exchange without a connection that records its response. Not thread safe.
class FakeExchange final : public HttpExchange {
public:
    explicit FakeExchange(HttpRequest request)
        : m_request(std::move(request))
    {
    }

    /// The complete response, or status and headers of a stream with the chunks sent so far as its body.
    std::optional<HttpResponse> response;
    bool isStream { false };
    bool isFinished { false };
    bool isAborted { false };
    /// Bytes that the caller has not taken yet, set by the test.
    qint64 waitingBytes { 0 };
    /// Called when bytes are written to the caller, before they are recorded.
    std::function<void()> onWrite;
    /// Chunks of a stream. The test may clear them.
    QByteArrayList chunks;

    /// Simulates that the caller closes the connection.
    void disconnect()
    {
        m_isDisconnected = true;
        if (m_disconnectedHandler)
            std::exchange(m_disconnectedHandler, {})();
    }

    const HttpRequest& request() const override { return m_request; }
    void answer(const HttpResponse& completeResponse) override
    {
        if (m_isDisconnected)
            return;
        Q_ASSERT(!response);
        notifyOfWrite();
        Q_ASSERT(!response);
        response = completeResponse;
        isFinished = true;
    }
    void startStream(int status, const HttpHeaders& headers) override
    {
        notifyOfWrite();
        response = HttpResponse { status, headers, {} };
        isStream = true;
    }
    void sendChunk(QByteArrayView chunk) override
    {
        notifyOfWrite();
        chunks.append(chunk.toByteArray());
        response->body += chunk;
    }
    void finishStream() override { isFinished = true; }
    void abortStream() override { isAborted = true; }
    /// Simulates that bytes were sent to the caller.
    void reportBytesWritten() const
    {
        if (m_bytesWrittenHandler)
            m_bytesWrittenHandler();
    }
    qint64 bytesToWrite() const override { return waitingBytes; }
    void setBytesWrittenHandler(std::function<void()> handler) override { m_bytesWrittenHandler = std::move(handler); }
    bool isCallerDisconnected() const override { return m_isDisconnected; }
    void setCallerDisconnectedHandler(std::function<void()> handler) override
    {
        m_disconnectedHandler = std::move(handler);
    }

private:
    void notifyOfWrite() const
    {
        if (onWrite)
            onWrite();
    }

    HttpRequest m_request;
    std::function<void()> m_disconnectedHandler;
    std::function<void()> m_bytesWrittenHandler;
    bool m_isDisconnected { false };
};

}
