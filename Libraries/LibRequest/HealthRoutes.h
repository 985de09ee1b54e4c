#pragma once

#include <LibRequest/Filter.h>

namespace Chicorydock {

/// Answers the balancer (`/healthz`, `/readyz`) and the collector of metrics (`/metrics`), without a key.
class HealthRoutes final : public Filter {
public:
    /// `isReady` says whether the balancer should send requests; `metrics` returns the Prometheus text. Both may be
    /// called on any I/O thread.
    HealthRoutes(std::function<bool()> isReady, std::function<std::string()> metrics);

    void handle(const RequestContextPtr&, const Next&) override;

private:
    std::function<bool()> m_isReady;
    std::function<std::string()> m_metrics;
};

}
