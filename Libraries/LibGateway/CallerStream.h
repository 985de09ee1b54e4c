#pragma once

#include <LibGateway/ResponseHead.h>
#include <LibHTTP/HttpExchange.h>

namespace Chicorydock {

/// The stream that a caller gets. Its events may come from several endpoints; its head is that of the endpoint that
/// brought the first one. Events can be held back, so that no byte of the response has left yet.
///
/// Thread safety: used on the thread of the exchange.
class CallerStream final {
public:
    /// The exchange outlives the stream.
    explicit CallerStream(HttpExchange& exchange)
        : m_exchange(exchange)
    {
    }

    /// Returns whether the head has been sent.
    bool hasBegun() const { return m_hasBegun; }

    /// Returns whether events have been sent or are held back.
    bool hasEvents() const { return m_hasBegun || !m_heldEvents.isEmpty(); }

    /// Returns the size of the buffer for what is held back.
    qsizetype heldBytes() const { return m_heldEvents.capacity(); }

    bool isHolding() const { return m_isHolding; }

    /// Returns whether the stream is complete but for the events held back.
    bool isEndHeld() const { return m_isEndHeld; }

    /// Holds back what follows until `release()`.
    void hold() { m_isHolding = true; }

    /// Sends events, or holds them back. `head` is the one of the response that they come from.
    void send(const ResponseHead& head, const QByteArray& events);

    /// Ends the stream, or holds back the end. `head` is the one of the response that has ended. Returns whether the
    /// stream has ended.
    bool finish(const ResponseHead& head);

    /// Sends what was held back. Returns whether the stream has ended thereby.
    bool release();

    /// Drops what was held back.
    void discard();

    /// Ends the response so that the caller detects that it is incomplete. Precondition: `hasBegun()`.
    void abort() { m_exchange.abortStream(); }

private:
    /// Makes `head` that of the stream, unless the stream has one.
    void keepHead(const ResponseHead& head);
    void begin();
    void sendEnd();

    HttpExchange& m_exchange;
    ResponseHead m_head;
    QByteArray m_heldEvents;
    bool m_hasBegun { false };
    bool m_isHolding { false };
    bool m_isEndHeld { false };
};

}
