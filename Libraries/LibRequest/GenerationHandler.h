#pragma once

#include <LibDispatch/RunnerEnvironment.h>
#include <LibRequest/Filter.h>
#include <LibRequest/RequestMetrics.h>

namespace Chicorydock {

/// Runs generations and sends the responses to their callers.
class GenerationHandler final : public Filter {
public:
    GenerationHandler(RunnerEnvironment&, RequestMetrics&);

    void handle(const RequestContextPtr&, const Next&) override;

private:
    RunnerEnvironment& m_environment;
    RequestMetrics& m_metrics;
};

}
