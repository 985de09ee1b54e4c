#pragma once

#include <LibDispatch/RunnerEnvironment.h>
#include <LibRequest/Filter.h>

namespace Chicorydock {

/// Runs calls to plain services and sends the responses to their callers.
class ServiceHandler final : public Filter {
public:
    explicit ServiceHandler(RunnerEnvironment&);

    void handle(const RequestContextPtr&, const Next&) override;

private:
    RunnerEnvironment& m_environment;
};

}
