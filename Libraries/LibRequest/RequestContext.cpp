#include <LibRequest/RequestContext.h>

#include <LibHTTP/ErrorResponse.h>

namespace Chicorydock {

void RequestContext::answer(const HttpResponse& answer)
{
    if (hasEnded)
        return;
    HttpResponse traced = answer;
    traced.headers.add("X-Trace-Id", QByteArray::fromStdString(traceId));
    exchange->answer(traced);
    end(&answer);
}

void RequestContext::fail(const Error& error) { answer(errorResponse(error, traceId)); }

void RequestContext::end(const HttpResponse* answer)
{
    if (hasEnded)
        return;
    hasEnded = true;
    const auto hooks = std::move(endHooks);
    endHooks.clear();
    for (const auto& hook : hooks)
        hook(answer);
}

}
