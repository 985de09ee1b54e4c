#pragma once

#include <LibRequest/Filter.h>

namespace Chicorydock {

/// Passes each request through a list of filters until one of them sends the response.
///
/// Thread safety: one instance serves one I/O thread.
class FilterChain final : public HttpHandler {
public:
    FilterChain(const Clock&, std::function<std::string()> makeTraceId, std::vector<std::unique_ptr<Filter>>);

    void handle(std::shared_ptr<HttpExchange>) override;

private:
    void run(size_t index, const RequestContextPtr&);

    const Clock& m_clock;
    std::function<std::string()> m_makeTraceId;
    std::vector<std::unique_ptr<Filter>> m_filters;
};

}
