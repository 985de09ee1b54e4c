#pragma once

#include <LibRequest/Filter.h>

namespace Chicorydock {

/// Serves the load balancer's checks (`/healthz`, `/readyz`) and the metrics (`/metrics`). No key is required.
class HealthRoutes final : public Filter {
public:
    /// `isReady` returns whether the load balancer should send requests; `metricsText` returns the metrics in the
    /// Prometheus text format. Both may be called on any I/O thread.
    HealthRoutes(std::function<bool()> isReady, std::function<std::string()> metricsText);

    void handle(const RequestContextPtr&, const Next&) override;

private:
    std::function<bool()> m_isReady;
    std::function<std::string()> m_metricsText;
};

}
