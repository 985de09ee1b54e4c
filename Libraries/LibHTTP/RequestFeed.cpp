#include <LibHTTP/RequestFeed.h>

#include <algorithm>
#include <cstring>

namespace Chicorydock {

RequestFeed::RequestFeed(const QTcpSocket& connection)
{
    setPeerAddress(connection.peerAddress());
    setPeerPort(connection.peerPort());
    setSocketState(ConnectedState);
    setOpenMode(ReadOnly);
}

RequestFeed::~RequestFeed()
{
    // The destructor of QAbstractSocket would try to close a connected socket.
    setSocketState(UnconnectedState);
    setOpenMode(NotOpen);
}

void RequestFeed::push(QByteArray head)
{
    m_pending += head;
    // The signal is private to QIODevice, so it is emitted by name.
    QMetaObject::invokeMethod(this, "readyRead", Qt::DirectConnection);
}

qint64 RequestFeed::bytesAvailable() const { return QIODevice::bytesAvailable() + m_pending.size(); }

qint64 RequestFeed::readData(char* data, qint64 maxSize)
{
    const qint64 n = std::min<qint64>(maxSize, m_pending.size());
    std::memcpy(data, m_pending.constData(), static_cast<size_t>(n));
    m_pending.remove(0, static_cast<qsizetype>(n));
    return n;
}

}
