#pragma once

#include <LibHTTP/HttpExchange.h>

#include <vector>

namespace Chicorydock {

/// Stores every exchange, so that the test can respond to it.
class RecordingHandler final : public HttpHandler {
public:
    void handle(std::shared_ptr<HttpExchange> exchange) override { exchanges.push_back(std::move(exchange)); }

    std::vector<std::shared_ptr<HttpExchange>> exchanges;
};

}
