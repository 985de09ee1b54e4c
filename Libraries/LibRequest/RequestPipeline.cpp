#include <LibRequest/RequestPipeline.h>

#include <LibCore/SeededRandom.h>
#include <LibRequest/AuthenticationFilter.h>
#include <LibRequest/CallRecordFilter.h>
#include <LibRequest/ClassifyFilter.h>
#include <LibRequest/DeadlineFilter.h>
#include <LibRequest/GenerationHandler.h>
#include <LibRequest/HealthRoutes.h>
#include <LibRequest/JobRoutes.h>
#include <LibRequest/MetricsFilter.h>
#include <LibRequest/ModelRoutes.h>
#include <LibRequest/RouteFilter.h>
#include <LibRequest/ServiceHandler.h>

namespace Chicorydock {

std::unique_ptr<FilterChain> makeRequestPipeline(
    const PipelineDependencies& dependencies, RunnerEnvironment& environment)
{
    std::vector<std::unique_ptr<Filter>> filters;
    filters.push_back(std::make_unique<HealthRoutes>(dependencies.isReady, dependencies.metricsText));
    filters.push_back(std::make_unique<MetricsFilter>(dependencies.clock, dependencies.requestMetrics));
    filters.push_back(std::make_unique<RouteFilter>());
    filters.push_back(std::make_unique<AuthenticationFilter>(dependencies.configuration));
    filters.push_back(std::make_unique<DeadlineFilter>(dependencies.defaultDeadline));
    filters.push_back(std::make_unique<AdmissionFilter>(dependencies.usage));
    filters.push_back(std::make_unique<ClassifyFilter>());
    filters.push_back(std::make_unique<CallRecordFilter>(
        dependencies.callRecords, dependencies.clock, dependencies.toPlatform, environment.post));
    filters.push_back(std::make_unique<ModelRoutes>());
    filters.push_back(std::make_unique<GenerationHandler>(environment, dependencies.requestMetrics));
    filters.push_back(std::make_unique<ServiceHandler>(environment));
    filters.push_back(
        std::make_unique<JobRoutes>(dependencies.jobs, dependencies.clock, dependencies.toPlatform, environment.post));

    const auto random = std::make_shared<SeededRandom>(SeededRandom::fromEntropy());
    return std::make_unique<FilterChain>(
        dependencies.clock, [random] { return random->identifier(); }, std::move(filters));
}

}
