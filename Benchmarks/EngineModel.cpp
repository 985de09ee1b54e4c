#include "EngineModel.h"

#include <algorithm>
#include <cmath>

namespace Chicorydock {

namespace {

    constexpr double failureDelaySeconds = 0.05;

}

EngineModel::EngineModel(
    EventQueue& events, uint32_t index, double factor, const EngineSpeed& speed, const Observer& observer)
    : m_events(events)
    , m_index(index)
    , m_factor(factor)
    , m_speed(speed)
    , m_observer(observer)
{
}

double EngineModel::gapSeconds(double streams) const
{
    return m_factor * (m_speed.gapBaseSeconds + m_speed.gapSlopeSeconds * streams);
}

double EngineModel::concurrencyWithin(double targetGapSeconds, double maxStreams) const
{
    const double streams = (targetGapSeconds / m_factor - m_speed.gapBaseSeconds) / m_speed.gapSlopeSeconds;
    return std::clamp(std::floor(streams), 0.0, maxStreams);
}

uint32_t EngineModel::running(WorkClass workClass) const
{
    return static_cast<uint32_t>(std::ranges::count(m_streams, workClass, &Stream::workClass));
}

double EngineModel::updateCache(const std::vector<uint64_t>& prefixes)
{
    if (m_cacheCapacity == 0 || prefixes.empty())
        return 0;
    size_t warm = 0;
    for (size_t n = 0; n < prefixes.size(); ++n) {
        const auto it = m_cache.find(prefixes[n]);
        if (it != m_cache.end()) {
            warm = n + 1;
            m_cacheOrder.splice(m_cacheOrder.begin(), m_cacheOrder, it->second);
            continue;
        }
        m_cacheOrder.push_front(prefixes[n]);
        m_cache[prefixes[n]] = m_cacheOrder.begin();
        m_stored.push_back(prefixes[n]);
    }
    while (m_cache.size() > m_cacheCapacity) {
        m_evicted.push_back(m_cacheOrder.back());
        m_cache.erase(m_cacheOrder.back());
        m_cacheOrder.pop_back();
    }
    return warm == 0 ? 0 : std::ldexp(1.0, static_cast<int>(warm) - static_cast<int>(prefixes.size()));
}

void EngineModel::start(const Key& key, const Work& work, uint32_t length)
{
    if (m_isFailing) {
        m_events.after(
            failureDelaySeconds, [this, key] { m_observer.onAttemptEnded(key, m_index, AttemptOutcome::Failed); });
        return;
    }
    const double warm = updateCache(work.prefixes);
    m_promptTokens += work.promptTokens;
    m_warmPromptTokens += static_cast<uint64_t>(work.promptTokens * warm);
    const uint64_t serial = ++m_serial;
    m_streams.push_back({ key, work.workClass, length, false, serial });
    const double prefill = m_factor * m_slowdown
        * (m_speed.prefillBaseSeconds + m_speed.prefillSecondsPerToken * work.promptTokens * (1 - warm));
    m_events.after(prefill, [this, serial] {
        const auto it = std::ranges::find(m_streams, serial, &Stream::serial);
        if (it == m_streams.end())
            return;
        it->isDecoding = true;
        scheduleStep();
    });
}

bool EngineModel::cancel(const Key& key)
{
    return std::erase_if(m_streams, [&](const Stream& it) { return it.key == key; }) > 0;
}

void EngineModel::scheduleStep()
{
    if (m_hasStep)
        return;
    m_hasStep = true;
    m_events.after(m_slowdown * gapSeconds(running()), [this] { step(); });
}

void EngineModel::step()
{
    m_hasStep = false;
    struct Report {
        Key key;
        bool isLast { false };
    };
    std::vector<Report> reports;
    for (Stream& stream : m_streams) {
        if (!stream.isDecoding)
            continue;
        ++m_tokens;
        ++m_tokensByClass[static_cast<size_t>(stream.workClass)];
        --stream.remaining;
        reports.push_back({ stream.key, stream.remaining == 0 });
    }
    std::erase_if(m_streams, [](const Stream& it) { return it.remaining == 0; });
    if (std::ranges::any_of(m_streams, &Stream::isDecoding))
        scheduleStep();
    std::vector<uint32_t> nodes;
    for (const Report& report : reports) {
        m_observer.onToken(report.key, m_index);
        if (report.isLast)
            m_observer.onAttemptEnded(report.key, m_index, AttemptOutcome::Completed);
        if (std::ranges::find(nodes, report.key.first) == nodes.end())
            nodes.push_back(report.key.first);
    }
    for (const uint32_t node : nodes)
        m_observer.onStepFinished(node);
}

}
