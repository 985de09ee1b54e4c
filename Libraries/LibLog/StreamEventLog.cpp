#include <LibLog/StreamEventLog.h>

#include <QJsonDocument>

#include <climits>
#include <poll.h>
#include <unistd.h>

namespace Chicorydock {

namespace {

    /// Returns whether the event reports normal operation and may be dropped first under load.
    bool isRoutineEvent(const QJsonObject& details)
    {
        const QString outcome = details["outcome"].toString();
        return outcome == "answered" || outcome == "cancelled";
    }

    QString text(std::string_view it) { return QString::fromUtf8(it.data(), static_cast<qsizetype>(it.size())); }

}

StreamEventLog::StreamEventLog(Options options, const Clock& clock)
    : m_options(std::move(options))
    , m_clock(clock)
    , m_secondStart(clock.now())
{
}

void StreamEventLog::record(std::string_view subject, std::string_view action, std::string_view id,
    std::string_view traceId, QJsonObject details)
{
    if (!isAdmitted(isRoutineEvent(details))) {
        ++m_dropped;
        ++m_unreportedDrops;
        return;
    }
    QJsonObject line {
        { "wall_ms", static_cast<qint64>(toUnixMilliseconds(m_clock.wallNow())) },
        { "sequence", static_cast<qint64>(++m_sequence) },
        { "node", text(m_options.node) },
        { "failure_domain", text(m_options.failureDomain) },
        { "subject", text(subject) },
        { "action", text(action) },
        { "id", text(id) },
    };
    if (!traceId.empty())
        line["trace_id"] = text(traceId);
    if (!details.isEmpty())
        line["details"] = std::move(details);
    if (m_unreportedDrops > 0)
        line["dropped_lines"] = static_cast<qint64>(m_unreportedDrops);
    if (write(QJsonDocument(line).toJson(QJsonDocument::Compact) + '\n')) {
        m_unreportedDrops = 0;
    } else {
        ++m_dropped;
        ++m_unreportedDrops;
    }
}

bool StreamEventLog::isAdmitted(bool isRoutine)
{
    const MonotonicTime now = m_clock.now();
    if (now - m_secondStart >= std::chrono::seconds { 1 }) {
        m_secondStart = now;
        m_linesInSecond = 0;
    }
    const uint32_t limit = isRoutine ? m_options.linesPerSecond : 2 * m_options.linesPerSecond;
    if (m_linesInSecond >= limit)
        return false;
    ++m_linesInSecond;
    return true;
}

bool StreamEventLog::write(const QByteArray& line)
{
    // A pipe that is ready for writing takes this many bytes without blocking.
    if (line.size() > PIPE_BUF)
        return false;
    pollfd descriptor { m_options.descriptor, POLLOUT, 0 };
    if (::poll(&descriptor, 1, 0) != 1 || (descriptor.revents & POLLOUT) == 0)
        return false;
    return ::write(m_options.descriptor, line.constData(), static_cast<size_t>(line.size())) == line.size();
}

std::vector<Event> StreamEventLog::recent(size_t, std::string_view) const { return {}; }

}
