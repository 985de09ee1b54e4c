#pragma once

#include <LibHTTP/PooledHttpClient.h>

#include <QJsonObject>

#include <memory>
#include <optional>

namespace Chicorydock {

/// One HTTP call of a test, which runs in the event loop of the test.
class TestCall final : private HttpCallObserver {
public:
    TestCall(HttpClient&, const HttpCallRequest&);

    bool hasEnded() const { return m_isFinished || m_failure; }
    /// Whether the whole answer came.
    bool isFinished() const { return m_isFinished; }
    const std::optional<HttpFailure>& failure() const { return m_failure; }
    int status() const { return m_answer.status; }
    const HttpResponse& answer() const { return m_answer; }
    QJsonObject json() const;
    /// Returns the kind of an error answer, or an empty string.
    std::string errorKind() const;

    /// Waits for the end. Fails the test if it does not come.
    TestCall& wait();

    /// Closes the connection.
    void cancel() { m_call.reset(); }

private:
    void onHandedOver() override { }
    void onHeaders(int status, const HttpHeaders&) override;
    void onData(const QByteArray& data) override { m_answer.body += data; }
    void onFinished() override { m_isFinished = true; }
    void onFailed(const HttpFailure& failure) override { m_failure = failure; }

    std::unique_ptr<HttpCall> m_call;
    HttpResponse m_answer { 0, {}, {} };
    bool m_isFinished { false };
    std::optional<HttpFailure> m_failure;
};

}
