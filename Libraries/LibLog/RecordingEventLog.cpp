#include <LibLog/RecordingEventLog.h>

#include <LibCore/Error.h>
#include <LibLog/EventJson.h>

#include <QJsonDocument>

#include <algorithm>
#include <cstring>
#include <fstream>
#include <tuple>

namespace Chicorydock {

namespace {

    LineWriter::Write appendTo(const std::string& path)
    {
        errno = 0;
        auto file = std::make_shared<std::ofstream>(path, std::ios::app | std::ios::binary);
        if (!*file)
            throw Error(
                ErrorKind::InvalidConfiguration, "event file " + path + " cannot be opened: " + std::strerror(errno));
        return [file](std::string_view text) {
            // Clears the error of an earlier write, because a full disk may have free space again.
            file->clear();
            file->write(text.data(), static_cast<std::streamsize>(text.size()));
            file->flush();
            return file->good();
        };
    }

    /// The identifier of a chunk or item is that of its job, a slash and a number.
    bool isChunkOrItemOf(std::string_view id, std::string_view jobId)
    {
        return id.size() > jobId.size() && id.starts_with(jobId) && id[jobId.size()] == '/';
    }

    bool matches(const Event& event, std::string_view id)
    {
        return id.empty() || event.id == id || event.traceId == id || isChunkOrItemOf(event.id, id);
    }

    std::string toLine(const Event& event)
    {
        return QJsonDocument(toJson(event)).toJson(QJsonDocument::Compact).toStdString();
    }

}

RecordingEventLog::RecordingEventLog(Options options, HybridLogicalClock& clock)
    : m_options(std::move(options))
    , m_clock(clock)
{
    if (!m_options.file.empty())
        m_writer = std::make_unique<LineWriter>(m_options.queueCapacity, appendTo(m_options.file));
}

void RecordingEventLog::record(std::string_view subject, std::string_view action, std::string_view id,
    std::string_view traceId, QJsonObject details)
{
    Event event {
        .time = {},
        .node = m_options.node,
        .failureDomain = m_options.failureDomain,
        .subject = std::string(subject),
        .action = std::string(action),
        .id = std::string(id),
        .traceId = std::string(traceId),
        .details = std::move(details),
    };
    {
        const std::lock_guard guard(m_mutex);
        // Read under the lock, so that the events in memory are ordered by time.
        event.time = m_clock.tick();
        m_events.push_back(event);
        if (m_events.size() > m_options.recentEvents)
            m_events.pop_front();
    }
    if (m_writer)
        m_writer->push(toLine(event));
}

std::vector<Event> RecordingEventLog::recent(size_t limit, std::string_view id) const
{
    std::vector<Event> found;
    const std::lock_guard guard(m_mutex);
    for (auto it = m_events.rbegin(); it != m_events.rend() && found.size() < limit; ++it) {
        if (matches(*it, id))
            found.push_back(*it);
    }
    std::ranges::reverse(found);
    return found;
}

std::vector<Event> mergeEvents(const std::vector<std::vector<Event>>& lists)
{
    std::vector<Event> merged;
    for (const auto& it : lists)
        merged.insert(merged.end(), it.begin(), it.end());
    std::ranges::stable_sort(
        merged, {}, [](const Event& event) { return std::make_tuple(event.time, std::string_view(event.node)); });
    merged.erase(std::unique(merged.begin(), merged.end()), merged.end());
    return merged;
}

}
