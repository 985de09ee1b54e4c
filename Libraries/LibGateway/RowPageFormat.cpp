#include <LibGateway/RowPageFormat.h>

#include <QDataStream>
#include <QIODevice>
#include <QtEndian>

namespace Chicorydock {

namespace {

    constexpr quint32 formatVersion = 1;

    /// The values are repetitive; the fastest level shrinks them to a fifth or less.
    constexpr int compressionLevel = 1;

    /// Limit on the size of a page, so that a peer cannot exhaust the memory.
    constexpr quint32 maxPageBytes = 32 * 1024 * 1024;

}

QByteArray encodeRowPage(const RowPage& page)
{
    QByteArray bytes;
    QDataStream stream(&bytes, QIODevice::WriteOnly);
    stream.setVersion(QDataStream::Qt_6_0);
    stream << formatVersion << static_cast<quint64>(page.storeVersion) << static_cast<quint32>(page.rows.size());
    for (const StoredRow& it : page.rows)
        stream << QByteArray::fromStdString(it.address.key) << it.value << static_cast<quint64>(it.version)
               << it.isRemoved;
    return qCompress(bytes, compressionLevel);
}

std::optional<RowPage> decodeRowPage(const std::string& table, const QByteArray& bytes)
{
    // The compressed form begins with the size of the page.
    if (bytes.size() < static_cast<qsizetype>(sizeof(quint32))
        || qFromBigEndian<quint32>(bytes.constData()) > maxPageBytes)
        return {};
    const QByteArray plain = qUncompress(bytes);
    QDataStream stream(plain);
    stream.setVersion(QDataStream::Qt_6_0);
    quint32 format = 0;
    quint64 storeVersion = 0;
    quint32 count = 0;
    stream >> format >> storeVersion >> count;
    if (stream.status() != QDataStream::Ok || format != formatVersion)
        return {};
    RowPage page { {}, false, storeVersion };
    for (quint32 n = 0; n < count; ++n) {
        QByteArray key;
        quint64 version = 0;
        StoredRow row;
        stream >> key >> row.value >> version >> row.isRemoved;
        if (stream.status() != QDataStream::Ok)
            return {};
        row.address = { table, "", key.toStdString() };
        row.version = version;
        page.rows.push_back(std::move(row));
    }
    return page;
}

}
