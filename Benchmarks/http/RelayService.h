#pragma once

#include <LibHTTP/HttpServer.h>
#include <LibHTTP/PooledHttpClient.h>

#include <unordered_map>

namespace Chicorydock {

/// Forwards every request to one address and streams the response back.
class RelayService final : public HttpHandler {
public:
    explicit RelayService(std::string target);
    ~RelayService() override;

    uint16_t port() const { return m_port; }

    void handle(std::shared_ptr<HttpExchange>) override;

private:
    class Relay;

    std::string m_target;
    PooledHttpClient m_client;
    std::unordered_map<const Relay*, std::unique_ptr<Relay>> m_relays;
    HttpServer m_server;
    uint16_t m_port;
};

}
