#pragma once

#include <LibEndpoint/EndpointClient.h>

namespace Chicorydock {

/// `EndpointClient` over HTTP.
class HttpEndpointClient final : public EndpointClient {
public:
    /// `client` outlives this object and all handles.
    explicit HttpEndpointClient(HttpClient& client);

    std::unique_ptr<HttpCall> generate(const GenerationRequest&, GenerationObserver&) override;
    std::unique_ptr<HttpCall> call(const HttpCallRequest&, HttpCallObserver&) override;
    std::unique_ptr<HttpCall> readState(const std::string& address, StateCallback) override;
    std::unique_ptr<HttpCall> readLoad(const std::string& address, LoadCallback) override;
    std::unique_ptr<HttpCall> readCacheEvents(const std::string& address, uint64_t after, EventsCallback) override;
    std::unique_ptr<HttpCall> order(const std::string& address, const EndpointOrder&, OrderCallback) override;

private:
    HttpClient& m_client;
};

}
