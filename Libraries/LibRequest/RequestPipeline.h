#pragma once

#include <LibBatch/JobService.h>
#include <LibCore/RcuCell.h>
#include <LibDispatch/RunnerEnvironment.h>
#include <LibRequest/AdmissionFilter.h>
#include <LibRequest/CallRecordStore.h>
#include <LibRequest/FilterChain.h>
#include <LibRequest/RequestMetrics.h>

namespace Chicorydock {

/// What the filter chains of all I/O threads share. All references outlive the chains.
struct PipelineDependencies {
    const Clock& clock;
    const RcuCell<Configuration>& configuration;
    WorkspaceUsage& usage;
    CallRecordStore& callRecords;
    JobService& jobs;
    /// Reaches threads that may block on the platform.
    Post toPlatform;
    std::function<bool()> isReady;
    std::function<std::string()> metrics;
    RequestMetrics& requestMetrics;
    Milliseconds defaultDeadline { 60'000 };
};

/// Returns the filter chain of one I/O thread, whose runners share `environment`.
std::unique_ptr<FilterChain> makeRequestPipeline(const PipelineDependencies&, RunnerEnvironment&);

}
