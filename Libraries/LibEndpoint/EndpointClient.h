#pragma once

#include <LibEndpoint/EndpointMessages.h>
#include <LibHTTP/HttpClient.h>

#include <functional>

namespace Chicorydock {

/// Receives the events of one generation, on the thread of the client. No method is called after `onFinished()` or
/// `onFailed()`.
class GenerationObserver {
public:
    virtual ~GenerationObserver() = default;

    /// The request was passed to a connection; from now on it may run.
    virtual void onHandedOver() = 0;
    /// The next tokens of the generation, in order and without gaps.
    virtual void onTokens(const GeneratedTokens&) = 0;
    /// The engine reported that the generation is complete.
    virtual void onFinished(const GenerationEnd&) = 0;
    virtual void onFailed(const EndpointFailure&) = 0;
};

/// Sends calls to endpoints. The client itself never retries a call.
///
/// Thread safety: used on the thread that created it, which runs a Qt event loop. Callbacks run on that thread, never
/// before the method that received them has returned; destroying the returned handle cancels the call and its
/// callbacks.
class EndpointClient {
public:
    virtual ~EndpointClient() = default;

    /// Starts a streamed generation. The observer outlives the handle.
    virtual std::unique_ptr<HttpCall> generate(const GenerationRequest&, GenerationObserver&) = 0;

    /// Starts a call to a plain service, or any other HTTP call. The observer outlives the handle.
    virtual std::unique_ptr<HttpCall> call(const HttpCallRequest&, HttpCallObserver&) = 0;

    using StateCallback = std::function<void(std::optional<EndpointState>)>;
    /// Reads what an engine has loaded; nothing if there is no usable response.
    virtual std::unique_ptr<HttpCall> readState(const std::string& address, StateCallback) = 0;

    using LoadCallback = std::function<void(std::optional<LoadReport>)>;
    /// Reads an endpoint's report of its past load; nothing if there is no usable response.
    virtual std::unique_ptr<HttpCall> readLoad(const std::string& address, LoadCallback) = 0;

    using EventsCallback = std::function<void(std::optional<CacheEvents>)>;
    /// Reads the cache events after a sequence number; nothing if there is no usable response.
    virtual std::unique_ptr<HttpCall> readCacheEvents(const std::string& address, uint64_t after, EventsCallback) = 0;

    using OrderCallback = std::function<void(OrderOutcome)>;
    /// Sends an order to load or unload a model or to change the role. An order describes a desired state, so sending
    /// it again is safe.
    virtual std::unique_ptr<HttpCall> order(const std::string& address, const EndpointOrder&, OrderCallback) = 0;
};

}
