#include <LibCore/Digest.h>

#include <QByteArrayView>
#include <QCryptographicHash>

namespace Chicorydock {

QByteArray sha256(std::string_view text)
{
    const QByteArrayView view(text.data(), static_cast<qsizetype>(text.size()));
    return QCryptographicHash::hash(view, QCryptographicHash::Sha256);
}

std::string sha256Hex(std::string_view text) { return sha256(text).toHex().toStdString(); }

uint64_t stableHash(std::string_view text, uint64_t seed)
{
    // FNV-1a, followed by the finalizer of MurmurHash3 because FNV alone mixes the high bits poorly.
    uint64_t hash = 0xcbf29ce484222325 ^ seed;
    for (const char c : text) {
        hash ^= static_cast<unsigned char>(c);
        hash *= 0x100000001b3;
    }
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccd;
    hash ^= hash >> 33;
    hash *= 0xc4ceb9fe1a85ec53;
    hash ^= hash >> 33;
    return hash;
}

}
