#pragma once

#include <QTcpSocket>

namespace Chicorydock {

/// The socket that QAbstractHttpServer reads requests from. It has no connection of its own: `HttpConnection` reads
/// and checks the bytes of the caller and passes on the header of one request at a time. So the parser of Qt sees
/// neither unchecked input nor a second request while the first one is being answered.
///
/// Thread safety: used on the I/O thread of the connection.
class RequestFeed final : public QTcpSocket {
public:
    explicit RequestFeed(const QTcpSocket& connection);
    ~RequestFeed() override;

    /// Passes `head` to the parser; the request is handled before this returns.
    void push(QByteArray head);

    qint64 bytesAvailable() const override;

protected:
    qint64 readData(char* data, qint64 maxSize) override;

private:
    QByteArray m_pending;
};

}
