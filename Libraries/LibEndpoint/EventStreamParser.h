#pragma once

#include <QByteArray>
#include <QByteArrayView>

#include <vector>

namespace Chicorydock {

/// Parses a stream of server-sent events. The input may be split between any two bytes.
///
/// Thread safety: none.
class EventStreamParser {
public:
    /// Returns the `data` of each event that these bytes complete; events without data are skipped.
    /// Throws `Error` (EndpointFailed) if an event exceeds 1 MiB.
    std::vector<QByteArray> feed(QByteArrayView bytes);

    /// Returns whether an event has begun and is not complete.
    bool isInsideEvent() const { return !m_line.isEmpty() || m_hasData; }

private:
    void endLine(std::vector<QByteArray>& events);

    QByteArray m_line;
    QByteArray m_data;
    bool m_hasData { false };
    /// Whether the last byte was a carriage return, so that a following line feed belongs to the same line end.
    bool m_wasCarriageReturn { false };
};

}
