#include <LibEndpoint/EventStreamParser.h>

#include <LibCore/Error.h>

#include <algorithm>
#include <utility>

namespace Chicorydock {

namespace {

    /// Limits the memory that a faulty endpoint can make the node use. An event of one token has a few hundred bytes.
    constexpr qsizetype maxEventBytes = 1024 * 1024;

    bool isLineEnd(char c) { return c == '\n' || c == '\r'; }

}

std::vector<QByteArray> EventStreamParser::feed(QByteArrayView bytes)
{
    std::vector<QByteArray> events;
    while (!bytes.empty()) {
        if (std::exchange(m_wasCarriageReturn, false) && bytes.front() == '\n') {
            bytes = bytes.sliced(1);
            continue;
        }
        const qsizetype end = std::ranges::find_if(bytes, isLineEnd) - bytes.begin();
        m_line.append(bytes.first(end));
        if (m_line.size() + m_data.size() > maxEventBytes)
            throw Error(ErrorKind::EndpointFailed, "an event of the stream is too large");
        if (end == bytes.size())
            break;
        m_wasCarriageReturn = bytes[end] == '\r';
        bytes = bytes.sliced(end + 1);
        endLine(events);
    }
    return events;
}

void EventStreamParser::endLine(std::vector<QByteArray>& events)
{
    const QByteArray line = std::exchange(m_line, {});
    if (line.isEmpty()) {
        if (std::exchange(m_hasData, false))
            events.push_back(std::exchange(m_data, {}));
        return;
    }
    const qsizetype colon = line.indexOf(':');
    const QByteArrayView name = colon < 0 ? QByteArrayView(line) : QByteArrayView(line).first(colon);
    if (name != QByteArrayView("data"))
        return;
    QByteArrayView value = colon < 0 ? QByteArrayView() : QByteArrayView(line).sliced(colon + 1);
    if (value.startsWith(' '))
        value = value.sliced(1);
    if (std::exchange(m_hasData, true))
        m_data += '\n';
    m_data.append(value);
}

}
