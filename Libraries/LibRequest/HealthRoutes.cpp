#include <LibRequest/HealthRoutes.h>

namespace Chicorydock {

namespace {

    HttpResponse textAnswer(int status, const std::string& text)
    {
        return { status, { { "Content-Type", "text/plain; version=0.0.4" } }, QByteArray::fromStdString(text) };
    }

}

HealthRoutes::HealthRoutes(std::function<bool()> isReady, std::function<std::string()> metricsText)
    : m_isReady(std::move(isReady))
    , m_metricsText(std::move(metricsText))
{
}

void HealthRoutes::handle(const RequestContextPtr& context, const Next& next)
{
    const HttpRequest& request = context->exchange->request();
    const bool isKnown = request.path == "/healthz" || request.path == "/readyz" || request.path == "/metrics";
    if (!isKnown) {
        next(context);
        return;
    }
    if (request.method != "GET")
        throw Error { ErrorKind::UnsupportedMethod, "only GET is supported for " + request.path.toStdString() };
    if (request.path == "/healthz")
        context->answer(textAnswer(200, "ok\n"));
    else if (request.path == "/metrics")
        context->answer(textAnswer(200, m_metricsText()));
    else if (m_isReady())
        context->answer(textAnswer(200, "ready\n"));
    else
        context->answer(textAnswer(503, "not ready\n"));
}

}
