#pragma once

#include <LibPlatform/Transaction.h>
#include <LibPlatform/VmList.h>

#include <QJsonObject>

#include <string_view>

namespace Chicorydock {

/// JSON form of the platform's calls, shared by the HTTP clients and the fake platform. Values that are not UTF-8 text
/// are sent as `value64` in base64 instead of `value`. The functions that read JSON throw Error(MalformedRequest).
///
/// Thread safety: all functions may be called from any thread.
namespace TableWire {

    QJsonObject toJson(const Row&);
    Row rowFromJson(const QJsonObject&);

    QJsonObject toJson(const Transaction&);
    Transaction transactionFromJson(const QJsonObject&);

    QJsonObject toJson(const CommitResult&);
    CommitResult commitResultFromJson(const QJsonObject&);

    QJsonObject toJson(const VmEntry&);
    VmEntry vmEntryFromJson(const QJsonObject&);

    /// Parses one JSON object.
    QJsonObject parse(std::string_view text);

}

}
