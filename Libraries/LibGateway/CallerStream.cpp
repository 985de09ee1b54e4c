#include <LibGateway/CallerStream.h>

#include <utility>

namespace Chicorydock {

void CallerStream::keepHead(const ResponseHead& head)
{
    if (!hasEvents())
        m_head = head;
}

void CallerStream::begin()
{
    if (!std::exchange(m_hasBegun, true))
        m_exchange.startStream(m_head.status, m_head.headers);
}

void CallerStream::send(const ResponseHead& head, const QByteArray& events)
{
    keepHead(head);
    if (m_isHolding) {
        m_heldEvents += events;
        return;
    }
    begin();
    m_exchange.sendChunk(events);
}

bool CallerStream::finish(const ResponseHead& head)
{
    keepHead(head);
    if (m_isHolding)
        m_isEndHeld = true;
    else
        sendEnd();
    return !m_isHolding;
}

void CallerStream::sendEnd()
{
    begin();
    m_exchange.finishStream();
}

bool CallerStream::release()
{
    if (!std::exchange(m_isHolding, false))
        return false;
    if (!m_heldEvents.isEmpty()) {
        begin();
        m_exchange.sendChunk(std::exchange(m_heldEvents, {}));
    }
    if (!m_isEndHeld)
        return false;
    sendEnd();
    return true;
}

void CallerStream::discard()
{
    m_isHolding = false;
    m_isEndHeld = false;
    m_heldEvents = {};
}

}
