#include <LibHTTP/UploadDevice.h>

#include <algorithm>
#include <cstring>

namespace Chicorydock {

UploadDevice::UploadDevice(QByteArray body, std::function<void()> onRead)
    : m_body(std::move(body))
    , m_onRead(std::move(onRead))
{
    // Unbuffered, so that `bytesAvailable()` and `wasRead()` are exact.
    open(ReadOnly | Unbuffered);
}

qint64 UploadDevice::readData(char* data, qint64 maxSize)
{
    const qint64 n = std::min(maxSize, bytesAvailable());
    if (m_isRevoked || n <= 0)
        return -1;
    m_onRead();
    // The observer may have cancelled the call.
    if (m_isRevoked)
        return -1;
    std::memcpy(data, m_body.constData() + m_position, static_cast<size_t>(n));
    m_position += n;
    return n;
}

}
