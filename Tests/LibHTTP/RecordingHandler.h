#pragma once

#include <LibHTTP/HttpExchange.h>

#include <vector>

namespace Chicorydock {

/// Keeps every exchange, for the test to answer.
class RecordingHandler final : public HttpHandler {
public:
    void handle(std::shared_ptr<HttpExchange> exchange) override { exchanges.push_back(std::move(exchange)); }

    std::vector<std::shared_ptr<HttpExchange>> exchanges;
};

}
