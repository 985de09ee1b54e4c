#pragma once

#include <LibBatch/JobService.h>
#include <LibCore/RcuCell.h>
#include <LibDispatch/RunnerEnvironment.h>
#include <LibRequest/AdmissionFilter.h>
#include <LibRequest/CallRecordStore.h>
#include <LibRequest/FilterChain.h>
#include <LibRequest/RequestMetrics.h>

namespace Chicorydock {

/// The services and settings that the filter chains of all I/O threads share. All referenced objects outlive the
/// chains.
struct PipelineDependencies {
    const Clock& clock;
    const RcuCell<Configuration>& configuration;
    WorkspaceUsage& usage;
    CallRecordStore& callRecords;
    JobService& jobs;
    /// Posts to threads that may block on the platform.
    Post toPlatform;
    std::function<bool()> isReady;
    std::function<std::string()> metricsText;
    RequestMetrics& requestMetrics;
    Milliseconds defaultDeadline { 60'000 };
};

/// Returns the filter chain of one I/O thread, whose runners share `environment`.
std::unique_ptr<FilterChain> makeRequestPipeline(const PipelineDependencies&, RunnerEnvironment&);

}
