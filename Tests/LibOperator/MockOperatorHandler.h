#pragma once

#include <LibOperator/OperatorHandler.h>

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

namespace Chicorydock {

class MockOperatorHandler final : public OperatorHandler {
public:
    MAKE_MOCK0(status, NodeStatus(), override);
    MAKE_MOCK0(endpoints, std::vector<EndpointStatus>(), override);
    MAKE_MOCK2(apply, uint64_t(const Configuration&, uint64_t), override);
    MAKE_MOCK0(configuration, Configuration(), override);
    MAKE_MOCK1(history, std::vector<RevisionInfo>(uint32_t), override);
    MAKE_MOCK1(submitJob, JobView(const JobSubmission&), override);
    MAKE_MOCK1(jobStatus, JobView(const std::string&), override);
    MAKE_MOCK3(jobResults, ResultPage(const std::string&, uint32_t, uint32_t), override);
    MAKE_MOCK1(cancelJob, JobView(const std::string&), override);
    MAKE_MOCK1(drain, void(const std::string&), override);
    MAKE_MOCK2(timeline, std::vector<Event>(const std::string&, uint32_t), override);
    MAKE_MOCK1(explainRequest, RequestExplanation(const std::string&), override);
};

}
