#include "Workload.h"

#include <LibCore/Digest.h>

#include <algorithm>
#include <cmath>
#include <numbers>

namespace Chicorydock {

namespace {

    constexpr uint32_t workspaces = 8;
    constexpr uint64_t arrivalSeedOffset = 1'000'000;
    constexpr uint32_t prefixKeysPerPrompt = 4;
    constexpr uint32_t largeTokenLimit = 50'000;
    // Some callers set a large limit for every request, so that the limit alone does not reveal a straggler.
    constexpr double largeLimitShare = 0.3;

    // The standard library's distributions differ between implementations; this one does not.
    double normal(Random& random)
    {
        const double radius = std::sqrt(-2 * std::log(1 - random.unit()));
        return radius * std::cos(2 * std::numbers::pi * random.unit());
    }

    uint32_t randomLength(Random& random, const WorkloadOptions& options)
    {
        const double length = options.medianTokens * std::exp(options.sigma * normal(random));
        return std::clamp(static_cast<uint32_t>(length), 1U, options.maxTokens);
    }

}

Workload::Workload(Simulation& simulation, const WorkloadOptions& options)
    : m_simulation(simulation)
    , m_random(simulation.options().seed + arrivalSeedOffset)
    , m_options(options)
{
}

double Workload::meanTokens(const WorkloadOptions& options)
{
    const double meanWithoutStragglers = options.medianTokens * std::exp(options.sigma * options.sigma / 2);
    return meanWithoutStragglers * (1 - options.stragglerShare + options.stragglerShare * options.stragglerFactor);
}

void Workload::start()
{
    m_isRunning = true;
    scheduleNext();
}

void Workload::scheduleNext()
{
    const double wait = -std::log(1 - m_random.unit()) / m_options.rate;
    m_simulation.events().after(wait, [this] {
        if (!m_isRunning)
            return;
        arrive();
        scheduleNext();
    });
}

void Workload::arrive()
{
    SeededRandom& random = m_random;
    Work work;
    work.model = "model";
    work.workspace = "workspace" + std::to_string(random.below(workspaces));
    work.promptTokens = static_cast<uint32_t>(m_options.promptTokens * (0.5 + random.unit()));
    const bool isStraggler = random.unit() < m_options.stragglerShare;
    uint32_t length = randomLength(random, m_options);
    if (isStraggler)
        length = static_cast<uint32_t>(m_options.medianTokens * m_options.stragglerFactor);
    const bool hasLargeLimit = isStraggler || (m_options.stragglerShare > 0 && random.unit() < largeLimitShare);
    work.maxTokens = hasLargeLimit ? largeTokenLimit : m_options.maxTokens;
    const double spread = 1 + m_options.deadlineSpread * (2 * random.unit() - 1);
    const double deadline = m_options.deadlineSeconds * spread * (isStraggler ? m_options.stragglerFactor : 1);
    work.deadline = m_simulation.events().now() + fromSeconds(deadline);
    if (m_options.hasRandomWorth)
        work.worth = std::pow(2.0, static_cast<double>(random.below(4)));
    if (m_options.prefixes > 0) {
        // The square of a uniform number favours low ranks, so that popularity falls with the rank.
        const double unit = random.unit();
        const auto prefix = static_cast<uint64_t>(m_options.prefixes * unit * unit);
        uint64_t key = prefix;
        for (uint32_t n = 0; n < prefixKeysPerPrompt && m_options.announcesPrefixes; ++n) {
            key = stableHash("prefix", key + n);
            work.prefixes.push_back(key);
        }
    }
    const auto node = static_cast<uint32_t>(random.below(m_simulation.options().nodes));
    m_simulation.submit(node, std::move(work), length, isStraggler);
}

std::pair<Work, uint32_t> Workload::makeBatchItem(Simulation& simulation, const WorkloadOptions& options)
{
    Work work;
    work.workClass = WorkClass::Batch;
    work.model = "model";
    work.workspace = "batch";
    work.promptTokens = options.promptTokens;
    work.maxTokens = options.maxTokens;
    work.deadline = simulation.events().now() + std::chrono::hours { 4 };
    return { work, randomLength(simulation.random(), options) };
}

}
