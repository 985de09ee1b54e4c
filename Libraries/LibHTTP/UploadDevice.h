#pragma once

#include <QIODevice>

#include <functional>

namespace Chicorydock {

/// The body of a request as a device that can be read only once. QNetworkAccessManager sends a request again when the
/// connection closes before an answer; because this device refuses to be reset, it fails the request instead.
///
/// Thread safety: used on the thread that created it.
class UploadDevice final : public QIODevice {
public:
    /// `onRead` is called before bytes are handed out.
    UploadDevice(QByteArray body, std::function<void()> onRead);

    /// Returns whether any byte was handed out.
    bool wasRead() const { return m_position > 0; }

    /// Refuses all further reads.
    void revoke() { m_isRevoked = true; }

    bool isSequential() const override { return true; }
    bool reset() override { return false; }
    bool atEnd() const override { return m_position == m_body.size(); }
    qint64 size() const override { return m_body.size(); }
    qint64 bytesAvailable() const override { return m_body.size() - m_position; }

protected:
    qint64 readData(char* data, qint64 maxSize) override;
    qint64 writeData(const char*, qint64) override { return -1; }

private:
    QByteArray m_body;
    std::function<void()> m_onRead;
    qint64 m_position { 0 };
    bool m_isRevoked { false };
};

}
