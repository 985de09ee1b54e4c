#pragma once

#include <QByteArray>

#include <cstdint>
#include <optional>
#include <vector>

namespace Chicorydock {

/// One event of a `text/event-stream`.
struct StreamEvent {
    std::optional<uint64_t> id;
    /// Lines of data, separated by line feeds.
    QByteArray data;
    /// The bytes as they arrived, with the empty line that ends the event.
    QByteArray bytes;

    bool operator==(const StreamEvent&) const = default;
};

/// Splits a stream into events. Bytes of an event that has not ended are kept back, because an endpoint may stop in the
/// middle of one.
///
/// Thread safety: none.
class EventStreamReader {
public:
    /// Takes bytes and returns the events that ended in them.
    std::vector<StreamEvent> consume(const QByteArray&);

    /// Returns whether bytes of an unfinished event are left.
    bool hasPartialEvent() const { return !m_bytes.isEmpty(); }

private:
    StreamEvent takeEvent(qsizetype size);

    QByteArray m_bytes;
    /// Where the next line starts that has not been looked at.
    qsizetype m_lineStart { 0 };
};

}
