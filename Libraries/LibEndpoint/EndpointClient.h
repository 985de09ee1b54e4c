#pragma once

#include <LibEndpoint/EndpointMessages.h>
#include <LibHTTP/HttpClient.h>

#include <functional>

namespace Chicorydock {

/// Hears of the progress of one generation, on the thread of the client. After `onFinished()` or `onFailed()` nothing
/// more comes.
class GenerationObserver {
public:
    virtual ~GenerationObserver() = default;

    /// The request was handed to a connection; from now on it may run.
    virtual void onHandedOver() = 0;
    /// A part of the answer, in order and without gaps.
    virtual void onTokens(const GeneratedTokens&) = 0;
    /// The engine said that the answer is whole.
    virtual void onFinished(const GenerationEnd&) = 0;
    virtual void onFailed(const EndpointFailure&) = 0;
};

/// Talks to endpoints. No call is ever sent twice by the client itself.
///
/// Thread safety: used on the thread that created it, which runs a Qt event loop. Callbacks come on that thread, never
/// before the method that took them has returned; destroying the returned handle cancels the call and its callbacks.
class EndpointClient {
public:
    virtual ~EndpointClient() = default;

    /// Starts a generation as a stream. The observer outlives the handle.
    virtual std::unique_ptr<HttpCall> generate(const GenerationRequest&, GenerationObserver&) = 0;

    /// Starts a call of a plain service, or any other raw call. The observer outlives the handle.
    virtual std::unique_ptr<HttpCall> call(const HttpCallRequest&, HttpCallObserver&) = 0;

    using StateCallback = std::function<void(std::optional<EndpointState>)>;
    /// Reads what an engine has loaded; nothing if it does not answer.
    virtual std::unique_ptr<HttpCall> readState(const std::string& address, StateCallback) = 0;

    using LoadCallback = std::function<void(std::optional<LoadReport>)>;
    /// Reads an endpoint's late report of its load; nothing if it does not answer.
    virtual std::unique_ptr<HttpCall> readLoad(const std::string& address, LoadCallback) = 0;

    using EventsCallback = std::function<void(std::optional<CacheEvents>)>;
    /// Reads the cache events after a sequence number; nothing if the endpoint does not answer.
    virtual std::unique_ptr<HttpCall> readCacheEvents(const std::string& address, uint64_t after, EventsCallback) = 0;

    using OrderCallback = std::function<void(OrderOutcome)>;
    /// Sends an order to load, unload or change role. An order is a desired state, so repeating it is safe.
    virtual std::unique_ptr<HttpCall> order(const std::string& address, const EndpointOrder&, OrderCallback) = 0;
};

}
