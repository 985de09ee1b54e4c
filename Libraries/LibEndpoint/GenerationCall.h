#pragma once

#include <LibEndpoint/EndpointClient.h>
#include <LibEndpoint/EventStreamParser.h>
#include <LibEndpoint/GenerationEvent.h>

#include <memory>

namespace Chicorydock {

/// One generation: reads the engine's event stream and checks that no token is missing or repeated. A generation is
/// complete only if the stream ends with a finish reason followed by `[DONE]`.
///
/// Thread safety: used on the thread of the client.
class GenerationCall final : public HttpCall, private HttpCallObserver {
public:
    GenerationCall(HttpClient&, const GenerationRequest&, GenerationObserver&);

    void setPaused(bool isPaused) override
    {
        if (m_call)
            m_call->setPaused(isPaused);
    }

private:
    void onHandedOver() override;
    void onHeaders(int status, const HttpHeaders&) override;
    void onData(const QByteArray&) override;
    void onFinished() override;
    void onFailed(const HttpFailure&) override;

    void readEvents(const QByteArray&);
    void handleEvent(const GenerationEvent&);
    void checkSequence(const GenerationEvent&) const;
    void fail(HttpFailure::Phase, HttpFailure::Reason, const std::string& message);
    void finish();

    GenerationObserver& m_observer;
    EventStreamParser m_parser;
    GenerationEnd m_end;
    uint32_t m_nextToken;
    int m_status { 0 };
    bool m_isDone { false };
    /// The start of the body of an error response.
    QByteArray m_errorBody;
    /// Expires with this object, which the observer may destroy in any of its methods.
    std::shared_ptr<char> m_alive { std::make_shared<char>() };
    std::unique_ptr<HttpCall> m_call;
};

}
