#include <LibEndpoint/DocumentCall.h>

#include <QJsonDocument>

#include <utility>

namespace Chicorydock {

namespace {

    /// Limits the memory that a faulty endpoint can make the node use; reports of state and load are far smaller.
    constexpr qsizetype maxDocumentBytes = 4 * 1024 * 1024;

}

DocumentCall::DocumentCall(HttpClient& client, const HttpCallRequest& request, Callback callback)
    : m_callback(std::move(callback))
    , m_call(client.start(request, *this))
{
}

void DocumentCall::onData(const QByteArray& data)
{
    m_body += data;
    if (m_body.size() > maxDocumentBytes)
        end({});
}

void DocumentCall::onFinished()
{
    Outcome outcome { .status = m_status, .body = {}, .isCertainlyNotSent = false };
    const QJsonDocument document = QJsonDocument::fromJson(m_body);
    if (document.isObject())
        outcome.body = document.object();
    end(outcome);
}

void DocumentCall::onFailed(const HttpFailure& failure)
{
    end({ .status = 0, .body = {}, .isCertainlyNotSent = failure.phase == HttpFailure::Phase::NotSent });
}

void DocumentCall::end(const Outcome& outcome)
{
    m_call.reset();
    const Callback callback = std::exchange(m_callback, nullptr);
    callback(outcome);
}

}
