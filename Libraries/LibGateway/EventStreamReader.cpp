#include <LibGateway/EventStreamReader.h>

#include <QByteArrayList>

namespace Chicorydock {

namespace {

    QByteArray withoutLineEnd(QByteArray line)
    {
        while (line.endsWith('\n') || line.endsWith('\r'))
            line.chop(1);
        return line;
    }

    /// Returns the value of a line `name: value`, without the one optional space after the colon.
    QByteArray fieldValue(const QByteArray& line, qsizetype nameSize)
    {
        QByteArray value = line.mid(nameSize + 1);
        if (value.startsWith(' '))
            value.remove(0, 1);
        return value;
    }

    std::optional<uint64_t> number(const QByteArray& text)
    {
        bool isValid = false;
        const qulonglong value = text.toULongLong(&isValid);
        return isValid ? std::optional<uint64_t>(value) : std::nullopt;
    }

}

std::vector<StreamEvent> EventStreamReader::consume(const QByteArray& bytes)
{
    std::vector<StreamEvent> events;
    m_bytes += bytes;
    for (;;) {
        const qsizetype end = m_bytes.indexOf('\n', m_lineStart);
        if (end < 0)
            return events;
        const QByteArrayView line = QByteArrayView(m_bytes).sliced(m_lineStart, end - m_lineStart);
        const bool isEmpty = line.empty() || line == QByteArrayView("\r");
        m_lineStart = end + 1;
        if (isEmpty)
            events.push_back(extractEvent(m_lineStart));
    }
}

StreamEvent EventStreamReader::extractEvent(qsizetype size)
{
    StreamEvent event;
    event.bytes = m_bytes.first(size);
    m_bytes.remove(0, size);
    m_lineStart = 0;
    for (const QByteArray& it : event.bytes.split('\n')) {
        const QByteArray line = withoutLineEnd(it);
        if (line.startsWith("id:")) {
            event.id = number(fieldValue(line, 2));
            event.hasMalformedId = !event.id;
        }
        if (!line.startsWith("data:"))
            continue;
        const QByteArray value = fieldValue(line, 4);
        event.data = event.data ? *event.data + '\n' + value : value;
    }
    return event;
}

}
