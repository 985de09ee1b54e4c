#pragma once

#include <LibCore/Clock.h>

#include <glog/logging.h>

#include <functional>
#include <string>
#include <string_view>

namespace Chicorydock {

/// Writes each glog message as one JSON object on one line: `time`, `level`, `message`, `file`, `node`,
/// `failure_domain` and, inside a `LogTraceScope`, `trace_id`.
///
/// Thread safety: all methods may be called from any thread.
class JsonLogSink final : public google::LogSink {
public:
    /// Writes one line, which ends with a line break. Called by one thread at a time.
    using Write = std::function<void(std::string_view)>;

    JsonLogSink(std::string node, std::string failureDomain, Write write);

    void send(google::LogSeverity, const char* fullFileName, const char* baseFileName, int line,
        const google::LogMessageTime&, const char* message, size_t length) override;

    /// Returns one line without a line break. Bytes of the message that are not UTF-8 are replaced.
    std::string format(google::LogSeverity, std::string_view file, int line, WallTime, std::string_view message) const;

private:
    std::string m_node;
    std::string m_failureDomain;
    Write m_write;
};

/// Turns glog's own output off and writes JSON lines to standard error while it exists. One per process.
class JsonLog {
public:
    /// `level` is `debug`, `info`, `warning` or `error`. glog has no severity below `info`, so `debug` enables
    /// `VLOG(1)`, whose lines carry the level `info`.
    JsonLog(const std::string& level, std::string node, std::string failureDomain);
    ~JsonLog();

    JsonLog(const JsonLog&) = delete;
    JsonLog& operator=(const JsonLog&) = delete;

private:
    JsonLogSink m_sink;
};

}
