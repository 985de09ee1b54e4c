#pragma once

#include <LibRequest/Filter.h>
#include <LibRequest/RequestMetrics.h>

namespace Chicorydock {

/// Records the status and the duration of each request when it ends.
class MetricsFilter final : public Filter {
public:
    MetricsFilter(const Clock&, RequestMetrics&);

    void handle(const RequestContextPtr&, const Next&) override;

private:
    const Clock& m_clock;
    RequestMetrics& m_metrics;
};

}
