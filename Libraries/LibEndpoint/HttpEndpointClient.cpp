#include <LibEndpoint/HttpEndpointClient.h>

#include <LibEndpoint/DocumentCall.h>
#include <LibEndpoint/EndpointDocuments.h>
#include <LibEndpoint/GenerationCall.h>

#include <QJsonDocument>

namespace Chicorydock {

namespace {

    /// Reports are short, so an endpoint that takes longer counts as unresponsive.
    constexpr Milliseconds reportTimeout { 2000 };
    /// Loading a model takes long, and the engine responds only after it has finished.
    constexpr Milliseconds orderTimeout { 120'000 };

    HttpCallRequest makeReadRequest(const std::string& address, const QByteArray& target)
    {
        return { .address = address,
            .method = "GET",
            .target = target,
            .headers = {},
            .body = {},
            .progressTimeout = reportTimeout };
    }

    /// Returns a callback that converts the JSON object of a successful response.
    template <typename Result, typename Convert>
    DocumentCall::Callback makeConvertingCallback(std::function<void(std::optional<Result>)> callback, Convert convert)
    {
        return [callback = std::move(callback), convert](const DocumentCall::Outcome& outcome) {
            const bool isUsable = outcome.status == 200 && outcome.body;
            callback(isUsable ? convert(*outcome.body) : std::optional<Result>());
        };
    }

    OrderOutcome toOrderOutcome(const DocumentCall::Outcome& outcome)
    {
        if (outcome.status == 200)
            return OrderOutcome::Done;
        if (outcome.status == 409)
            return OrderOutcome::StaleFencingNumber;
        const bool isUnanswered = outcome.status == 0 && !outcome.isCertainlyNotSent;
        return isUnanswered ? OrderOutcome::Unknown : OrderOutcome::Failed;
    }

}

HttpEndpointClient::HttpEndpointClient(HttpClient& client)
    : m_client(client)
{
}

std::unique_ptr<HttpCall> HttpEndpointClient::generate(const GenerationRequest& request, GenerationObserver& observer)
{
    return std::make_unique<GenerationCall>(m_client, request, observer);
}

std::unique_ptr<HttpCall> HttpEndpointClient::call(const HttpCallRequest& request, HttpCallObserver& observer)
{
    return m_client.start(request, observer);
}

std::unique_ptr<HttpCall> HttpEndpointClient::readState(const std::string& address, StateCallback callback)
{
    return std::make_unique<DocumentCall>(
        m_client, makeReadRequest(address, "/state"), makeConvertingCallback(std::move(callback), toEndpointState));
}

std::unique_ptr<HttpCall> HttpEndpointClient::readLoad(const std::string& address, LoadCallback callback)
{
    return std::make_unique<DocumentCall>(
        m_client, makeReadRequest(address, "/load"), makeConvertingCallback(std::move(callback), toLoadReport));
}

std::unique_ptr<HttpCall> HttpEndpointClient::readCacheEvents(
    const std::string& address, uint64_t after, EventsCallback callback)
{
    const QByteArray target = "/cache/events?after=" + QByteArray::number(qulonglong { after });
    return std::make_unique<DocumentCall>(
        m_client, makeReadRequest(address, target), makeConvertingCallback(std::move(callback), toCacheEvents));
}

std::unique_ptr<HttpCall> HttpEndpointClient::order(
    const std::string& address, const EndpointOrder& order, OrderCallback callback)
{
    const HttpCallRequest request { .address = address,
        .method = "POST",
        .target = "/orders",
        .headers = { { "Content-Type", "application/json" } },
        .body = QJsonDocument(toJson(order)).toJson(QJsonDocument::Compact),
        .progressTimeout = orderTimeout };
    return std::make_unique<DocumentCall>(m_client, request,
        [callback = std::move(callback)](const DocumentCall::Outcome& outcome) { callback(toOrderOutcome(outcome)); });
}

}
