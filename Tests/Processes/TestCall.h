#pragma once

#include <LibHTTP/PooledHttpClient.h>

#include <QJsonObject>

#include <memory>
#include <optional>

namespace Chicorydock {

/// An HTTP call in the event loop of a test, whose response is stored.
class TestCall final : private HttpCallObserver {
public:
    TestCall(HttpClient&, const HttpCallRequest&);

    bool hasEnded() const { return m_isFinished || m_failure; }
    /// Whether the response is complete.
    bool isFinished() const { return m_isFinished; }
    const std::optional<HttpFailure>& failure() const { return m_failure; }
    int status() const { return m_response.status; }
    const HttpResponse& response() const { return m_response; }
    QJsonObject json() const;
    /// Returns the kind of an error response, or an empty string.
    std::string errorKind() const;

    /// Waits until the call has ended. Fails the test on a timeout.
    TestCall& wait();

    /// Closes the connection.
    void cancel() { m_call.reset(); }

private:
    void onHandedOver() override { }
    void onHeaders(int status, const HttpHeaders&) override;
    void onData(const QByteArray& data) override { m_response.body += data; }
    void onFinished() override { m_isFinished = true; }
    void onFailed(const HttpFailure& failure) override { m_failure = failure; }

    std::unique_ptr<HttpCall> m_call;
    HttpResponse m_response { 0, {}, {} };
    bool m_isFinished { false };
    std::optional<HttpFailure> m_failure;
};

}
