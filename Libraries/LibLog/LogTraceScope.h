#pragma once

#include <string>

namespace Chicorydock {

/// Adds a trace id to every log line that the current thread writes while the scope exists. Scopes nest.
///
/// Thread safety: destroyed on the thread that created it, in reverse order of creation.
class LogTraceScope {
public:
    explicit LogTraceScope(std::string traceId);
    ~LogTraceScope();

    LogTraceScope(const LogTraceScope&) = delete;
    LogTraceScope& operator=(const LogTraceScope&) = delete;

    /// Returns the trace id of the innermost scope of the current thread, or an empty string.
    static const std::string& current();

private:
    std::string m_previous;
};

}
