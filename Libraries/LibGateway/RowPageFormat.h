#pragma once

#include <LibPlatform/RowStore.h>

#include <QByteArray>

#include <optional>
#include <string>

namespace Chicorydock {

/// Encodes rows of one table and of the empty partition for another node, compressed. May be called from any thread.
QByteArray encodeRowPage(const RowPage&);

/// Returns nothing if the bytes are not a page, or too many. May be called from any thread.
std::optional<RowPage> decodeRowPage(const std::string& table, const QByteArray&);

}
