#pragma once

#include <LibCore/MemoryBudget.h>
#include <LibHTTP/HttpConnection.h>
#include <LibHTTP/HttpExchange.h>

#include <QPointer>

namespace Chicorydock {

/// The exchange for one request of an `HttpConnection`. It may outlive the connection.
///
/// Thread safety: used on the I/O thread of the connection.
class ConnectionExchange final : public HttpExchange {
public:
    /// `received` is the account of the connection for the bytes of the request.
    ConnectionExchange(HttpConnection&, HttpRequest, bool isHttp10, MemoryBudget::Account& received);
    /// Responds with an internal error if no response was begun, and aborts a stream that was not finished.
    ~ConnectionExchange() override;

    const HttpRequest& request() const override { return m_request; }
    void answer(const HttpResponse&) override;
    void startStream(int status, const HttpHeaders&) override;
    void sendChunk(QByteArrayView) override;
    void finishStream() override;
    void abortStream() override;
    qint64 bytesToWrite() const override;
    void setBytesWrittenHandler(std::function<void()>) override;
    bool isCallerDisconnected() const override;
    uint64_t connectionNumber() const override { return m_connectionNumber; }
    void setCallerDisconnectedHandler(std::function<void()>) override;

    /// Calls the disconnect handler unless the response has ended. Called when the connection is closed.
    void handleCallerDisconnected();

    /// Called when bytes have been sent.
    void handleBytesWritten() const;

private:
    enum class Stage {
        Open,
        Streaming,
        Ended,
    };

    void end();

    QPointer<HttpConnection> m_connection;
    HttpRequest m_request;
    /// The bytes of the request.
    MemoryBudget::Account m_memory;
    std::function<void()> m_callerDisconnectedHandler;
    std::function<void()> m_bytesWrittenHandler;
    Stage m_stage { Stage::Open };
    uint64_t m_connectionNumber;
    bool m_isHttp10;
    bool m_closesConnection { false };
    bool m_sendsBody { true };
};

}
