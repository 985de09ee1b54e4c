#pragma once

#include <LibDispatch/RunnerEnvironment.h>
#include <LibRequest/Filter.h>

namespace Chicorydock {

/// Runs generations and answers their callers.
class GenerationHandler final : public Filter {
public:
    explicit GenerationHandler(RunnerEnvironment&);

    void handle(const RequestContextPtr&, const Next&) override;

private:
    RunnerEnvironment& m_environment;
};

}
