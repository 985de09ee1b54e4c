#pragma once

#include <LibLog/EventLog.h>
#include <LibLog/LineWriter.h>

#include <deque>
#include <memory>
#include <mutex>

namespace Chicorydock {

/// Keeps the newest events in memory and, if a file is configured, appends all events to it as JSON lines.
///
/// Thread safety: all methods may be called from any thread; the file is written on a thread of its own.
class RecordingEventLog final : public EventLog {
public:
    struct Options {
        std::string node;
        std::string failureDomain;
        /// Number of events kept in memory; positive.
        size_t recentEvents { 20'000 };
        /// File to append to; no file is written if empty.
        std::string file;
        /// Number of events that may wait to be written to the file.
        size_t queueCapacity { 10'000 };
    };

    /// The clock outlives the log. Throws Error(InvalidConfiguration) if the file cannot be opened.
    RecordingEventLog(Options, HybridLogicalClock&);

    void record(std::string_view subject, std::string_view action, std::string_view id, std::string_view traceId = {},
        QJsonObject details = {}) override;
    std::vector<Event> recent(size_t limit, std::string_view id = {}) const override;

    /// Returns the number of events that are missing from the file.
    uint64_t dropped() const { return m_writer ? m_writer->dropped() : 0; }

private:
    const Options m_options;
    HybridLogicalClock& m_clock;
    mutable std::mutex m_mutex;
    std::deque<Event> m_events;
    std::unique_ptr<LineWriter> m_writer;
};

/// Merges the events of several nodes into one timeline: ordered by hybrid logical time, then by node; an event that
/// occurs in several lists is kept once. May be called from any thread.
std::vector<Event> mergeEvents(const std::vector<std::vector<Event>>& lists);

}
