#include "Rows.h"

#include "Workload.h"

#include <algorithm>
#include <cmath>
#include <malloc.h>
#include <map>

namespace Chicorydock {

namespace {

    constexpr double warmUpSeconds = 20;
    constexpr double measuredSeconds = 120;

    double percentile(std::vector<double> values, double share)
    {
        if (values.empty())
            return 0;
        const auto rank = static_cast<size_t>(share * static_cast<double>(values.size() - 1));
        std::ranges::nth_element(values, values.begin() + static_cast<long>(rank));
        return values[rank];
    }

    /// A run with online and possibly batch work, measured after a warm-up.
    struct Run {
        Run(const SimulationOptions& options, const WorkloadOptions& shape)
            : simulation(options)
            , workload(simulation, shape)
            , shape(shape)
        {
        }

        void warmUp(bool hasBatch = false)
        {
            if (hasBatch)
                simulation.supplyBatch([this] { return Workload::makeBatchItem(simulation, shape); });
            workload.start();
            simulation.runFor(warmUpSeconds);
            begin = simulation.events().now();
        }

        template <typename Value> std::vector<double> collect(Value value) const
        {
            std::vector<double> values;
            for (const RequestRecord& it : simulation.records()) {
                if (it.workClass != WorkClass::Online || it.submitted < begin)
                    continue;
                if (const std::optional<double> number = value(it))
                    values.push_back(*number);
            }
            return values;
        }

        double firstTokenP99(bool excludesStragglers = false) const
        {
            return percentile(collect([&](const RequestRecord& it) -> std::optional<double> {
                if (!it.firstToken || (excludesStragglers && it.isStraggler))
                    return {};
                return toSeconds(*it.firstToken - it.submitted);
            }),
                0.99);
        }

        double responseP99() const
        {
            return percentile(collect([](const RequestRecord& it) -> std::optional<double> {
                if (!it.completed)
                    return {};
                return toSeconds(*it.completed - it.submitted);
            }),
                0.99);
        }

        /// Returns the 95th percentile of the mean token gap of a request.
        double gapP95() const
        {
            return percentile(collect([](const RequestRecord& it) -> std::optional<double> {
                if (!it.completed || it.length < 2)
                    return {};
                return toSeconds(*it.completed - *it.firstToken) / (it.length - 1);
            }),
                0.95);
        }

        uint64_t tokens(WorkClass workClass)
        {
            uint64_t sum = 0;
            for (uint32_t n = 0; n < simulation.endpointCount(); ++n)
                sum += simulation.engine(n).tokens(workClass);
            return sum;
        }

        /// Returns the tokens of batch items that completed in [from, to). Tokens of cancelled attempts do not count.
        double completedBatchTokens(MonotonicTime from, MonotonicTime to) const
        {
            double sum = 0;
            for (const RequestRecord& it : simulation.records()) {
                if (it.workClass == WorkClass::Batch && it.completed && *it.completed >= from && *it.completed < to)
                    sum += it.length;
            }
            return sum;
        }

        Simulation simulation;
        Workload workload;
        WorkloadOptions shape;
        MonotonicTime begin;
    };

    double fleetCapacity(const SimulationOptions& options) { return Simulation(options).capacity(); }

    WorkloadOptions shapeForLoad(const SimulationOptions& options, double load, WorkloadOptions shape = {})
    {
        shape.rate = load * fleetCapacity(options) / Workload::meanTokens(shape);
        return shape;
    }

    SimulationOptions fleetOptions(Policy policy, uint64_t seed)
    {
        SimulationOptions options;
        options.policy = policy;
        options.seed = seed;
        return options;
    }

    std::vector<Metric> learning(Policy policy, uint64_t seed)
    {
        std::vector<Metric> metrics;
        SimulationOptions options = fleetOptions(policy, seed);
        options.endpoints = 8;
        Run run(options, shapeForLoad(options, 0.4));
        run.workload.start();
        Simulation& simulation = run.simulation;
        const auto completed = [&] {
            return std::ranges::count_if(
                simulation.records(), [](const RequestRecord& it) { return it.completed.has_value(); });
        };
        for (const int64_t requests : { 10, 100, 1'000 }) {
            while (completed() < requests * options.endpoints)
                simulation.runFor(0.1);
            std::vector<double> errors;
            std::vector<double> doubledErrors;
            for (const EndpointView& it : simulation.scheduler(0).view(simulation.events().now())) {
                const auto index = static_cast<uint32_t>(std::stoul(it.endpoint.id.substr(8)));
                const double streams = std::max(1U, simulation.engine(index).running());
                const auto error = [&](double concurrency) {
                    const double truth = simulation.engine(index).gapSeconds(concurrency);
                    const double learned = it.summary.gapBaseSeconds + it.summary.gapSlopeSeconds * concurrency;
                    return std::abs(learned - truth) / truth;
                };
                errors.push_back(error(streams));
                doubledErrors.push_back(error(2 * streams));
            }
            const std::string name = "gap error after " + std::to_string(requests) + " requests per endpoint";
            metrics.push_back({ name + ", median", percentile(errors, 0.5), {}, false });
            metrics.push_back({ name + ", worst", percentile(errors, 1), {}, false });
            metrics.push_back({ name + ", at twice the load, median", percentile(doubledErrors, 0.5), {}, false });
        }

        // The endpoint that started the most requests becomes five times slower.
        const auto startsIn = [&](MonotonicTime from, MonotonicTime to) {
            std::map<uint32_t, double> starts;
            for (const RequestRecord& it : simulation.records()) {
                if (it.started && *it.started >= from && *it.started < to)
                    ++starts[it.firstEndpoint];
            }
            return starts;
        };
        const MonotonicTime before = simulation.events().now();
        simulation.runFor(10);
        const MonotonicTime slowAt = simulation.events().now();
        auto starts = startsIn(before, slowAt);
        const auto busiest = std::ranges::max_element(starts, {}, [](const auto& it) { return it.second; })->first;
        const double usual = starts[busiest] / 10;
        simulation.engine(busiest).setSlowdown(5);
        simulation.runFor(10);
        const MonotonicTime fastAt = simulation.events().now();
        simulation.engine(busiest).setSlowdown(1);
        simulation.runFor(60);

        // An endpoint has lost or regained its share at the start of the first two-second window with less or more than
        // half of its usual starts. Shorter windows may be empty by chance.
        constexpr std::chrono::seconds window { 2 };
        const auto firstWindow = [&](MonotonicTime from, double seconds, auto matches) {
            for (double at = 0; at < seconds; at += 0.05) {
                auto counts = startsIn(from + fromSeconds(at), from + fromSeconds(at) + window);
                if (matches(counts[busiest] / toSeconds(window)))
                    return at;
            }
            return seconds;
        };
        const double gap = 5 * simulation.engine(busiest).gapSeconds(10);
        const double lost = firstWindow(slowAt, 8, [&](double rate) { return rate < usual / 2; });
        const double regained = firstWindow(fastAt, 30, [&](double rate) { return rate > usual / 2; });
        auto first = startsIn(slowAt, slowAt + std::chrono::seconds { 1 });
        metrics.push_back({ "seconds until a slowed endpoint lost its share", lost, 5 * gap, false });
        metrics.push_back({ "its starts in the first second / usual", first[busiest] / usual, {}, false });
        metrics.push_back({ "seconds until it had its share again", regained, {}, false });
        return metrics;
    }

    std::vector<Metric> batchWithAllowance(Policy policy, uint64_t seed, double allowance)
    {
        SimulationOptions options = fleetOptions(policy, seed);
        options.settings.batchGapAllowance = allowance;
        const WorkloadOptions shape = shapeForLoad(options, 0.5);
        Run without(options, shape);
        without.warmUp();
        without.simulation.runFor(measuredSeconds);
        Run with(options, shape);
        with.warmUp(true);
        const uint64_t onlineBefore = with.tokens(WorkClass::Online);
        with.simulation.runFor(measuredSeconds);
        const MonotonicTime end = with.simulation.events().now();
        const double online = static_cast<double>(with.tokens(WorkClass::Online) - onlineBefore) / measuredSeconds;
        const double left = with.simulation.capacity() - online;
        const double throughput = with.completedBatchTokens(with.begin, end) / measuredSeconds;
        const double refused = static_cast<double>(with.collect([](const RequestRecord& it) -> std::optional<double> {
                                                           return it.refused ? std::optional { 1.0 } : std::nullopt;
                                                       })
                                                       .size());
        return {
            { "first token p99 without batch, seconds", without.firstTokenP99(), {}, false },
            { "first token p99 with / without batch", with.firstTokenP99() / without.firstTokenP99(), 1.10, false },
            { "answer p99 without batch, seconds", without.responseP99(), {}, false },
            { "answer p99 with / without batch", with.responseP99() / without.responseP99(), 1.10, false },
            { "token gap p95 with batch, seconds", with.gapP95(), toSeconds(options.settings.tokenGapTarget), false },
            { "batch throughput / capacity left", throughput / left, 0.85, true },
            { "longest time online queued beside batch, seconds", with.simulation.longestYieldSeconds(), 0.1, false },
            { "online refused", refused, {}, false },
        };
    }

    // Batch work may fill endpoints until the token gap reaches its target.
    std::vector<Metric> batchToTarget(Policy policy, uint64_t seed) { return batchWithAllowance(policy, seed, 1'000); }

    // Batch work uses only endpoints without online work and times with less online work than usual.
    std::vector<Metric> batchWithoutAllowance(Policy policy, uint64_t seed)
    {
        return batchWithAllowance(policy, seed, 0);
    }

    // Batch work may lengthen the token gap of online work only slightly.
    std::vector<Metric> batchWithSmallAllowance(Policy policy, uint64_t seed)
    {
        return batchWithAllowance(policy, seed, 0.08);
    }

    std::vector<Metric> burst(Policy policy, uint64_t seed)
    {
        const SimulationOptions options = fleetOptions(policy, seed);
        const WorkloadOptions low = shapeForLoad(options, 0.1);
        const WorkloadOptions high = shapeForLoad(options, 0.9);
        Run run(options, low);
        run.warmUp(true);
        constexpr double phaseSeconds = 3;
        double idleBatch = 0;
        double idleLeft = 0;
        for (int n = 0; n < 10; ++n) {
            run.workload.setRate(high.rate);
            run.simulation.runFor(phaseSeconds);
            run.workload.setRate(low.rate);
            const uint64_t batchBefore = run.tokens(WorkClass::Batch);
            const uint64_t onlineBefore = run.tokens(WorkClass::Online);
            run.simulation.runFor(phaseSeconds);
            idleBatch += static_cast<double>(run.tokens(WorkClass::Batch) - batchBefore);
            idleLeft += run.simulation.capacity() * phaseSeconds
                - static_cast<double>(run.tokens(WorkClass::Online) - onlineBefore);
        }
        return {
            { "seconds until batch yielded to a burst", run.simulation.longestYieldSeconds(), 0.1, false },
            { "first token p99, seconds", run.firstTokenP99(), {}, false },
            { "batch tokens in idle phases of 3 s / capacity left", idleBatch / idleLeft, {}, true },
        };
    }

    std::vector<Metric> stragglers(Policy policy, uint64_t seed)
    {
        SimulationOptions options = fleetOptions(policy, seed);
        WorkloadOptions shape;
        shape.stragglerShare = 0.05;
        shape = shapeForLoad(options, 0.7, shape);
        shape.deadlineSeconds = 120;
        Run with(options, shape);
        with.warmUp();
        with.simulation.runFor(measuredSeconds);
        WorkloadOptions plain = shape;
        plain.stragglerShare = 0;
        plain.rate = shape.rate * (1 - shape.stragglerShare);
        Run without(options, plain);
        without.warmUp();
        without.simulation.runFor(measuredSeconds);
        const auto wait = [](const Run& run) {
            return percentile(run.collect([](const RequestRecord& it) -> std::optional<double> {
                if (!it.started || it.isStraggler)
                    return {};
                return toSeconds(*it.started - it.submitted);
            }),
                0.99);
        };
        const double refused = static_cast<double>(with.collect([](const RequestRecord& it) -> std::optional<double> {
                                                           return it.refused ? std::optional { 1.0 } : std::nullopt;
                                                       })
                                                       .size());
        return {
            { "short first token p99 with / without stragglers", with.firstTokenP99(true) / without.firstTokenP99(true),
                1.5, false },
            { "short queue wait p99 with stragglers, seconds", wait(with), {}, false },
            { "refused with stragglers", refused, {}, false },
        };
    }

    void slowPeriodically(Simulation& simulation, uint32_t endpoint, double offset)
    {
        constexpr double periodSeconds = 15;
        constexpr double slowSeconds = 3;
        simulation.events().after(offset, [&simulation, endpoint] {
            simulation.engine(endpoint).setSlowdown(5);
            simulation.events().after(
                slowSeconds, [&simulation, endpoint] { simulation.engine(endpoint).setSlowdown(1); });
            slowPeriodically(simulation, endpoint, periodSeconds);
        });
    }

    std::vector<Metric> slowed(Policy policy, uint64_t seed)
    {
        SimulationOptions options = fleetOptions(policy, seed);
        options.endpoints = 10;
        const WorkloadOptions shape = shapeForLoad(options, 0.5);
        Run baseline(options, shape);
        baseline.warmUp();
        baseline.simulation.runFor(measuredSeconds);
        Run disturbed(options, shape);
        slowPeriodically(disturbed.simulation, 0, warmUpSeconds + 1);
        slowPeriodically(disturbed.simulation, 1, warmUpSeconds + 6);
        disturbed.warmUp();
        disturbed.simulation.runFor(measuredSeconds);
        return {
            { "first token p99 slowed / none", disturbed.firstTokenP99() / baseline.firstTokenP99(), 1.5, false },
            { "answer p99 slowed / none", disturbed.responseP99() / baseline.responseP99(), 1.5, false },
        };
    }

    std::vector<Metric> failing(Policy policy, uint64_t seed)
    {
        SimulationOptions options = fleetOptions(policy, seed);
        options.endpoints = 12;
        Run run(options, shapeForLoad(options, 0.4));
        run.warmUp();
        for (uint32_t n = 0; n < 4; ++n)
            run.simulation.engine(n).setFailing(true);
        const uint64_t attempts = run.simulation.attempts();
        run.simulation.runFor(measuredSeconds);
        const auto requests
            = run.collect([](const RequestRecord& it) { return std::optional { it.completed ? 1.0 : 0.0 }; });
        const auto ended = run.collect([](const RequestRecord& it) -> std::optional<double> {
            if (it.completed || it.hasFailed || it.refused)
                return it.completed ? 1.0 : 0.0;
            return {};
        });
        const double completed = static_cast<double>(std::ranges::count(ended, 1.0));
        return {
            { "load at endpoints / offered",
                static_cast<double>(run.simulation.attempts() - attempts) / static_cast<double>(requests.size()), 1.1,
                false },
            { "completed / ended", completed / static_cast<double>(ended.size()), {}, true },
        };
    }

    /// Returns the worth per second of the requests that completed in time.
    double goodput(const Run& run, double seconds)
    {
        double sum = 0;
        for (const double it : run.collect([](const RequestRecord& it) -> std::optional<double> {
                 return it.completed && *it.completed <= it.deadline ? std::optional { it.worth } : std::nullopt;
             }))
            sum += it;
        return sum / seconds;
    }

    std::vector<Metric> overload(Policy policy, uint64_t seed)
    {
        const SimulationOptions options = fleetOptions(policy, seed);
        WorkloadOptions shape;
        shape.hasRandomWorth = true;
        shape.deadlineSeconds = 12;
        shape.deadlineSpread = 0.3;
        Run normal(options, shapeForLoad(options, 1.0, shape));
        normal.warmUp();
        normal.simulation.runFor(measuredSeconds);
        Run over(options, shapeForLoad(options, 2.0, shape));
        over.warmUp();
        over.simulation.runFor(measuredSeconds);
        const auto waitsUntilRefusal = over.collect([](const RequestRecord& it) -> std::optional<double> {
            return it.refused ? std::optional { toSeconds(*it.refused - it.submitted) } : std::nullopt;
        });
        // Upper bound in a fluid model: the capacity, in requests of mean length, serves the requests of the highest
        // worth first.
        const double capacity = over.simulation.capacity() / Workload::meanTokens(shape);
        const double offered = 2 * capacity;
        const double ideal = offered / 4 * 8 + offered / 4 * 4;
        const auto inTime = over.collect([](const RequestRecord& it) -> std::optional<double> {
            if (!it.completed)
                return {};
            return *it.completed <= it.deadline ? 1.0 : 0.0;
        });
        return {
            { "worth of answers in time / ideal at capacity", goodput(over, measuredSeconds) / ideal, {}, true },
            { "goodput at twice capacity / at capacity",
                goodput(over, measuredSeconds) / goodput(normal, measuredSeconds), 1.0, true },
            { "completed in time / completed",
                static_cast<double>(std::ranges::count(inTime, 1.0)) / std::max<double>(1, inTime.size()), {}, true },
            { "p50 of time a refused request was held, seconds", percentile(waitsUntilRefusal, 0.5), {}, false },
            { "longest time a refused request was held, seconds", percentile(waitsUntilRefusal, 1),
                toSeconds(options.settings.maxQueueWait), false },
            { "refused", static_cast<double>(waitsUntilRefusal.size()), {}, false },
        };
    }

    std::vector<Metric> affinity(Policy policy, uint64_t seed)
    {
        SimulationOptions options = fleetOptions(policy, seed);
        options.spread = 1;
        options.cacheKeys = 160;
        options.lostCacheEvents = 0.2;
        WorkloadOptions shape;
        shape.prefixes = 200;
        shape.promptTokens = 2'000;
        shape = shapeForLoad(options, 0.5, shape);
        const auto warmShare = [](Run& run) {
            double warm = 0;
            double all = 0;
            for (uint32_t n = 0; n < run.simulation.endpointCount(); ++n) {
                warm += static_cast<double>(run.simulation.engine(n).warmPromptTokens());
                all += static_cast<double>(run.simulation.engine(n).promptTokens());
            }
            return warm / all;
        };
        Run run(options, shape);
        run.warmUp();
        std::vector<double> loads(options.endpoints);
        for (int n = 0; n < 120; ++n) {
            run.simulation.runFor(measuredSeconds / 120);
            for (uint32_t i = 0; i < options.endpoints; ++i)
                loads[i] += run.simulation.engine(i).running();
        }
        double sum = 0;
        for (const double it : loads)
            sum += it;
        // Round robin chooses endpoints without regard to prefixes.
        SimulationOptions blindOptions = options;
        blindOptions.policy = Policy::Naive;
        Run random(blindOptions, shape);
        random.warmUp();
        random.simulation.runFor(measuredSeconds);
        return {
            { "warm share of prompt tokens", warmShare(run), {}, true },
            { "warm share / without regard to prefixes", warmShare(run) / warmShare(random), {}, true },
            { "largest mean endpoint load / mean", *std::ranges::max_element(loads) * options.endpoints / sum, {},
                false },
            { "first token p99, seconds", run.firstTokenP99(), {}, false },
        };
    }

    std::vector<Metric> region(Policy policy, uint64_t seed)
    {
        SimulationOptions options = fleetOptions(policy, seed);
        options.nodes = 2;
        options.endpoints = 14;
        options.firstRemoteEndpoint = 4;
        WorkloadOptions shape;
        shape.deadlineSeconds = 15;
        const double local = Simulation(options).capacity(0, options.firstRemoteEndpoint);
        shape.rate = 2 * local / Workload::meanTokens(shape);
        Run run(options, shape);
        run.warmUp();
        run.simulation.runFor(measuredSeconds);
        const std::vector<double>& bytes = run.simulation.regionBytes();
        const double budget = static_cast<double>(options.settings.regionBytesPerSecond) * options.nodes;
        double mean = 0;
        double worst = 0;
        constexpr size_t window = 10;
        for (auto n = static_cast<size_t>(warmUpSeconds); n + window <= bytes.size(); ++n) {
            double sum = 0;
            for (size_t i = 0; i < window; ++i)
                sum += bytes[n + i];
            worst = std::max(worst, sum / window);
        }
        for (auto n = static_cast<size_t>(warmUpSeconds); n < bytes.size(); ++n)
            mean += bytes[n] / measuredSeconds;
        const auto completed = run.collect([](const RequestRecord& it) {
            return std::optional { it.completed && *it.completed <= it.deadline ? 1.0 : 0 };
        });
        return {
            { "bytes a second to the other region / budget", mean / budget, 1.0, false },
            { "worst 10 s of it / budget", worst / budget, {}, false },
            { "answered in time",
                static_cast<double>(std::ranges::count(completed, 1.0))
                    / static_cast<double>(std::max<size_t>(1, completed.size())),
                {}, true },
        };
    }

    std::vector<Metric> cost(Policy policy, uint64_t seed)
    {
        std::vector<Metric> metrics;
        double smallest = 0;
        for (const uint32_t endpoints : { 20U, 200U, 600U }) {
            SimulationOptions options = fleetOptions(policy, seed);
            options.nodes = 1;
            options.endpoints = endpoints;
            options.spread = 1;
            const size_t memoryBefore = mallinfo2().uordblks;
            {
                SeededRandom random(seed);
                Simulation idle(options);
                const double memory = static_cast<double>(mallinfo2().uordblks - memoryBefore) / endpoints;
                metrics.push_back({ "bytes per endpoint with its model, " + std::to_string(endpoints) + " endpoints",
                    memory, {}, false });
            }
            // The same load per scheduler at each size, so that only the number of endpoints differs.
            WorkloadOptions shape;
            shape.rate = 60;
            Run run(options, shape);
            run.workload.start();
            run.simulation.runFor(5);
            const double secondsBefore = run.simulation.schedulerSeconds();
            const size_t requestsBefore = run.simulation.records().size();
            run.simulation.runFor(20);
            const double microseconds = 1e6 * (run.simulation.schedulerSeconds() - secondsBefore)
                / static_cast<double>(run.simulation.records().size() - requestsBefore);
            metrics.push_back(
                { "microseconds per request, " + std::to_string(endpoints) + " endpoints", microseconds, {}, false });
            if (smallest == 0)
                smallest = microseconds;
            if (endpoints == 600)
                metrics.push_back({ "cost with 600 / with 20 endpoints", microseconds / smallest, {}, false });
        }
        return metrics;
    }

}

const std::vector<Row>& rows()
{
    static const std::vector<Row> list {
        { "a learning", learning },
        { "b batch up to the gap target", batchToTarget },
        { "b batch without gap allowance", batchWithoutAllowance },
        { "b batch with 8% gap allowance", batchWithSmallAllowance },
        { "b burst", burst },
        { "c stragglers", stragglers },
        { "d slowed", slowed },
        { "d failing", failing },
        { "e overload", overload },
        { "f affinity", affinity },
        { "g region", region },
        { "h cost", cost },
    };
    return list;
}

}
