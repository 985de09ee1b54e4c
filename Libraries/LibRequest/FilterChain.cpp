#include <LibRequest/FilterChain.h>

namespace Chicorydock {

FilterChain::FilterChain(
    const Clock& clock, std::function<std::string()> makeTraceId, std::vector<std::unique_ptr<Filter>> filters)
    : m_clock(clock)
    , m_makeTraceId(std::move(makeTraceId))
    , m_filters(std::move(filters))
{
}

void FilterChain::handle(std::shared_ptr<HttpExchange> exchange)
{
    const auto context = std::make_shared<RequestContext>();
    context->exchange = std::move(exchange);
    context->traceId = m_makeTraceId();
    context->received = m_clock.now();
    run(0, context);
}

void FilterChain::run(size_t index, const RequestContextPtr& context)
{
    if (index == m_filters.size()) {
        context->fail(Error { ErrorKind::Internal, "no filter answered the request" });
        return;
    }
    try {
        m_filters[index]->handle(context, [this, index](const RequestContextPtr& next) { run(index + 1, next); });
    } catch (const Error& error) {
        context->fail(error);
    } catch (const std::exception& exception) {
        context->fail(Error { ErrorKind::Internal, exception.what() });
    }
}

}
