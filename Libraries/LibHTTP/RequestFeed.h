#pragma once

#include <QTcpSocket>

namespace Chicorydock {

/// The socket that QAbstractHttpServer reads requests from. It has no network connection: `HttpConnection` reads and
/// checks the bytes of the caller and pushes the header of one request at a time. The parser of Qt therefore receives
/// neither unchecked input nor a second request while the first one is being handled.
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
