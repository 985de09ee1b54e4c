#pragma once

#include <LibHTTP/HttpClient.h>

#include <functional>
#include <optional>

namespace Chicorydock {

/// Records everything that a call reports.
class RecordingObserver final : public HttpCallObserver {
public:
    void onHandedOver() override
    {
        ++handedOver;
        if (handedOverHook)
            handedOverHook();
    }
    void onHeaders(int newStatus, const HttpHeaders& newHeaders) override
    {
        status = newStatus;
        headers = newHeaders;
    }
    void onData(const QByteArray& data) override
    {
        body += data;
        if (dataHook)
            dataHook();
    }
    void onFinished() override
    {
        ++finished;
        if (finishedHook)
            finishedHook();
    }
    void onFailed(const HttpFailure& newFailure) override
    {
        ++failed;
        failure = newFailure;
    }

    bool hasEnded() const { return finished + failed > 0; }

    std::function<void()> handedOverHook;
    std::function<void()> dataHook;
    std::function<void()> finishedHook;
    int handedOver { 0 };
    int status { 0 };
    HttpHeaders headers;
    QByteArray body;
    int finished { 0 };
    int failed { 0 };
    std::optional<HttpFailure> failure;
};

}
