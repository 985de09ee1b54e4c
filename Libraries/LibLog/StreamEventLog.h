#pragma once

#include <LibCore/Clock.h>
#include <LibLog/EventLog.h>

#include <cstdint>
#include <string>

namespace Chicorydock {

/// Writes each event as one JSON line to a descriptor and keeps none in memory. A line is dropped and counted if the
/// descriptor cannot take it without blocking or the line rate is too high, routine lines first; the next line that is
/// written reports how many were dropped.
///
/// Thread safety: used on the thread that created it.
class StreamEventLog final : public EventLog {
public:
    struct Options {
        std::string node;
        std::string failureDomain;
        int descriptor { 1 };
        /// Lines per second above which routine lines are dropped; above twice this rate, all lines are dropped.
        uint32_t linesPerSecond { 200 };
    };

    /// The clock outlives the log.
    StreamEventLog(Options, const Clock&);

    void record(std::string_view subject, std::string_view action, std::string_view id, std::string_view traceId = {},
        QJsonObject details = {}) override;

    /// Returns nothing, because events are not kept after they are written.
    std::vector<Event> recent(size_t limit, std::string_view id = {}) const override;

    uint64_t dropped() const { return m_dropped; }

private:
    bool isAdmitted(bool isRoutine);
    bool write(const QByteArray& line);

    const Options m_options;
    const Clock& m_clock;
    MonotonicTime m_secondStart;
    uint32_t m_linesInSecond { 0 };
    uint64_t m_dropped { 0 };
    uint64_t m_unreportedDrops { 0 };
    uint64_t m_sequence { 0 };
};

}
