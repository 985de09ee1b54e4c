#include <LibLog/LogTraceScope.h>

#include <utility>

namespace Chicorydock {

namespace {

    std::string& currentTraceId()
    {
        thread_local std::string traceId;
        return traceId;
    }

}

LogTraceScope::LogTraceScope(std::string traceId)
    : m_previous(std::exchange(currentTraceId(), std::move(traceId)))
{
}

LogTraceScope::~LogTraceScope() { currentTraceId() = std::move(m_previous); }

const std::string& LogTraceScope::current() { return currentTraceId(); }

}
