#pragma once

#include <QByteArray>
#include <QByteArrayView>

#include <vector>

namespace Chicorydock {

/// Splits a server-sent event stream into events. Bytes may be cut at any place.
///
/// Thread safety: none.
class EventStreamParser {
public:
    /// Returns the `data` of each event that became complete; events without data are left out.
    /// Throws `Error` (EndpointFailed) if an event exceeds 1 MiB.
    std::vector<QByteArray> feed(QByteArrayView bytes);

    /// Returns whether an event has begun and is not complete.
    bool isInsideEvent() const { return !m_line.isEmpty() || m_hasData; }

private:
    void endLine(std::vector<QByteArray>& events);

    QByteArray m_line;
    QByteArray m_data;
    bool m_hasData { false };
    /// Whether the last byte was a carriage return, so that a line feed belongs to the same end of line.
    bool m_wasCarriageReturn { false };
};

}
