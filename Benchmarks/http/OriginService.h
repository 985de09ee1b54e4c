#pragma once

#include <LibHTTP/HttpServer.h>

namespace Chicorydock {

/// Responds to `/call` with a short body and to `/stream` with `streamChunks` chunks.
class OriginService final : public HttpHandler {
public:
    static constexpr int streamChunks = 100;

    OriginService()
        : m_server(*this)
        , m_port(m_server.listen("127.0.0.1:0"))
    {
    }

    uint16_t port() const { return m_port; }

    void handle(std::shared_ptr<HttpExchange> exchange) override
    {
        if (exchange->request().path == "/call") {
            exchange->answer({ .status = 200, .headers = {}, .body = "{\"ok\":true}" });
            return;
        }
        exchange->startStream(200, { { "Content-Type", "text/event-stream" } });
        for (int n = 0; n < streamChunks; ++n)
            exchange->sendChunk("data: {\"choices\":[{\"delta\":{\"content\":\" word\"}}]}\n\n");
        exchange->finishStream();
    }

private:
    HttpServer m_server;
    uint16_t m_port;
};

}
