#include <LibRequest/MetricsFilter.h>

namespace Chicorydock {

MetricsFilter::MetricsFilter(const Clock& clock, RequestMetrics& metrics)
    : m_clock(clock)
    , m_metrics(metrics)
{
}

void MetricsFilter::handle(const RequestContextPtr& context, const Next& next)
{
    context->endHooks.emplace_back([this, received = context->received](const HttpResponse* answer) {
        m_metrics.recordEnd(answer ? answer->status : 0, m_clock.now() - received);
    });
    next(context);
}

}
