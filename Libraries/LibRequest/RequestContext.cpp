#include <LibRequest/RequestContext.h>

#include <LibHTTP/ErrorAnswer.h>

namespace Chicorydock {

void RequestContext::answer(const HttpAnswer& answer)
{
    if (hasEnded)
        return;
    HttpAnswer traced = answer;
    traced.headers.add("X-Trace-Id", QByteArray::fromStdString(traceId));
    exchange->answer(traced);
    end(&answer);
}

void RequestContext::fail(const Error& error) { answer(errorAnswer(error, traceId)); }

void RequestContext::end(const HttpAnswer* answer)
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
