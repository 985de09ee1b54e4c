#pragma once

#include <LibHTTP/HttpClient.h>

#include <QJsonObject>

#include <functional>
#include <memory>
#include <optional>

namespace Chicorydock {

/// A short call whose response body is a JSON object.
///
/// Thread safety: used on the thread of the client.
class DocumentCall final : public HttpCall, private HttpCallObserver {
public:
    struct Outcome {
        /// 0 if no complete response was received.
        int status { 0 };
        /// Not set if the body is not a JSON object.
        std::optional<QJsonObject> body;
        /// Whether no byte of the request was passed to a connection.
        bool isCertainlyNotSent { false };
    };
    using Callback = std::function<void(const Outcome&)>;

    /// `callback` is called once, unless this object is destroyed before; it may destroy this object.
    DocumentCall(HttpClient&, const HttpCallRequest&, Callback callback);

    void setPaused(bool isPaused) override
    {
        if (m_call)
            m_call->setPaused(isPaused);
    }

private:
    void onHandedOver() override { }
    void onHeaders(int status, const HttpHeaders&) override { m_status = status; }
    void onData(const QByteArray&) override;
    void onFinished() override;
    void onFailed(const HttpFailure&) override;

    void end(const Outcome&);

    Callback m_callback;
    int m_status { 0 };
    QByteArray m_body;
    std::unique_ptr<HttpCall> m_call;
};

}
