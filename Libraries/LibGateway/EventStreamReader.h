#pragma once

#include <QByteArray>

#include <cstdint>
#include <optional>
#include <vector>

namespace Chicorydock {

/// One event of a `text/event-stream`.
struct StreamEvent {
    /// Empty if the event has no identifier, or one that is not a number.
    std::optional<uint64_t> id;
    /// Values of the data lines, separated by line feeds. Empty if there is none.
    std::optional<QByteArray> data;
    /// The bytes as received, including the empty line that ends the event.
    QByteArray bytes;
    /// Whether the event has an identifier that is not a number.
    bool hasMalformedId { false };

    /// Returns whether the event consists of comments or of fields without effect.
    bool isEmpty() const { return !id && !data && !hasMalformedId; }

    bool operator==(const StreamEvent&) const = default;
};

/// Splits a stream into events. Bytes of an incomplete event are buffered, because the stream may break off within it.
///
/// Thread safety: none.
class EventStreamReader {
public:
    /// Appends bytes and returns the events that they complete.
    std::vector<StreamEvent> consume(const QByteArray&);

    /// Returns whether the incomplete event is larger than any sound endpoint sends. The reader must not be used then.
    bool isOversized() const { return m_bytes.size() > maxEventBytes; }

    /// Returns the size of the buffer.
    qsizetype heldBytes() const { return m_bytes.capacity(); }

    /// Returns whether bytes of an incomplete event are buffered.
    bool hasPartialEvent() const { return !m_bytes.isEmpty(); }

private:
    /// A faulty endpoint may send bytes without the end of an event.
    static constexpr qsizetype maxEventBytes = 1024 * 1024;

    /// Removes the first `size` bytes from the buffer and parses them as one event.
    StreamEvent extractEvent(qsizetype size);

    QByteArray m_bytes;
    /// Start of the first line that has not been scanned.
    qsizetype m_lineStart { 0 };
};

}
