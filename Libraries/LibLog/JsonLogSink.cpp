#include <LibLog/JsonLogSink.h>

#include <LibLog/LogTraceScope.h>

#include <QDateTime>
#include <QJsonDocument>
#include <QJsonObject>

#include <unistd.h>

namespace Chicorydock {

namespace {

    QString toText(std::string_view text)
    {
        return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
    }

    QString levelName(google::LogSeverity severity)
    {
        switch (severity) {
        case google::GLOG_INFO:
            return "info";
        case google::GLOG_WARNING:
            return "warning";
        case google::GLOG_ERROR:
            return "error";
        default:
            return "fatal";
        }
    }

    void writeToStandardError(std::string_view line)
    {
        while (!line.empty()) {
            const ssize_t n = ::write(STDERR_FILENO, line.data(), line.size());
            if (n < 0 && errno == EINTR)
                continue;
            // A failed write to standard error cannot be reported anywhere else.
            if (n <= 0)
                return;
            line.remove_prefix(static_cast<size_t>(n));
        }
    }

    int lowestSeverity(const std::string& level)
    {
        if (level == "error")
            return google::GLOG_ERROR;
        return level == "warning" ? google::GLOG_WARNING : google::GLOG_INFO;
    }

}

JsonLogSink::JsonLogSink(std::string node, std::string failureDomain, Write write)
    : m_node(std::move(node))
    , m_failureDomain(std::move(failureDomain))
    , m_write(std::move(write))
{
}

void JsonLogSink::send(google::LogSeverity severity, const char*, const char* baseFileName, int line,
    const google::LogMessageTime& time, const char* message, size_t length)
{
    const auto sinceEpoch = std::chrono::seconds { time.timestamp() } + Microseconds { time.usec() };
    const WallTime wallTime { std::chrono::duration_cast<WallTime::duration>(sinceEpoch) };
    m_write(format(severity, baseFileName, line, wallTime, { message, length }) + "\n");
}

std::string JsonLogSink::format(
    google::LogSeverity severity, std::string_view file, int line, WallTime time, std::string_view message) const
{
    QJsonObject object {
        { "time", QDateTime::fromMSecsSinceEpoch(toUnixMilliseconds(time), Qt::UTC).toString(Qt::ISODateWithMs) },
        { "level", levelName(severity) },
        { "message", toText(message) },
        { "file", toText(file) + ":" + QString::number(line) },
        { "node", toText(m_node) },
        { "failure_domain", toText(m_failureDomain) },
    };
    if (const std::string& traceId = LogTraceScope::current(); !traceId.empty())
        object["trace_id"] = toText(traceId);
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

JsonLog::JsonLog(const std::string& level, std::string node, std::string failureDomain)
    : m_sink(std::move(node), std::move(failureDomain), writeToStandardError)
{
    FLAGS_logtostderr = false;
    FLAGS_alsologtostderr = false;
    // One above the highest severity, so that glog writes no line of its own to standard error.
    FLAGS_stderrthreshold = google::NUM_SEVERITIES;
    FLAGS_minloglevel = lowestSeverity(level);
    FLAGS_v = level == "debug" ? 1 : 0;
    // An empty file name turns the log file of a severity off.
    for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity)
        google::SetLogDestination(severity, "");
    google::InitGoogleLogging("chicorydock");
    google::AddLogSink(&m_sink);
}

JsonLog::~JsonLog()
{
    google::RemoveLogSink(&m_sink);
    google::ShutdownGoogleLogging();
}

}
