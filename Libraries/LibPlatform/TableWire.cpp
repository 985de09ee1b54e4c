#include <LibPlatform/TableWire.h>

#include <LibCore/Error.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QStringDecoder>

namespace Chicorydock::TableWire {

namespace {

    std::string text(const QJsonObject& object, const char* name)
    {
        const QJsonValue value = object[QLatin1String(name)];
        if (!value.isString())
            throw Error(ErrorKind::MalformedRequest, std::string("field ") + name + " is not a string");
        return value.toString().toStdString();
    }

    uint64_t number(const QJsonObject& object, const char* name)
    {
        const QJsonValue value = object[QLatin1String(name)];
        if (!value.isDouble() || value.toInteger(-1) < 0)
            throw Error(ErrorKind::MalformedRequest, std::string("field ") + name + " is not a positive integer");
        return static_cast<uint64_t>(value.toInteger());
    }

    void insertValue(QJsonObject& object, const std::string& value)
    {
        const QByteArrayView bytes(value.data(), static_cast<qsizetype>(value.size()));
        QStringDecoder decoder(QStringDecoder::Utf8, QStringDecoder::Flag::Stateless);
        const QString decoded = decoder(bytes);
        // A byte order mark would be dropped by the decoder, so such a value counts as binary.
        if (decoder.hasError() || decoded.toUtf8() != bytes)
            object["value64"] = QString::fromLatin1(bytes.toByteArray().toBase64());
        else
            object["value"] = decoded;
    }

    std::string readValue(const QJsonObject& object)
    {
        if (!object.contains("value64"))
            return text(object, "value");
        const auto decoded = QByteArray::fromBase64Encoding(
            QByteArray::fromStdString(text(object, "value64")), QByteArray::AbortOnBase64DecodingErrors);
        if (!decoded)
            throw Error(ErrorKind::MalformedRequest, "field value64 is not base64");
        return decoded.decoded.toStdString();
    }

    QString kindName(Operation::Kind kind)
    {
        switch (kind) {
        case Operation::Kind::Put:
            return "put";
        case Operation::Kind::Remove:
            return "remove";
        case Operation::Kind::Check:
            return "check";
        }
        return {};
    }

    Operation::Kind kindFromName(const std::string& name)
    {
        if (name == "put")
            return Operation::Kind::Put;
        if (name == "remove")
            return Operation::Kind::Remove;
        if (name == "check")
            return Operation::Kind::Check;
        throw Error(ErrorKind::MalformedRequest, "unknown operation " + name);
    }

}

QJsonObject toJson(const Row& row)
{
    QJsonObject object { { "key", QString::fromStdString(row.key) }, { "version", static_cast<qint64>(row.version) } };
    insertValue(object, row.value);
    return object;
}

Row rowFromJson(const QJsonObject& object)
{
    return { text(object, "key"), readValue(object), number(object, "version") };
}

QJsonObject toJson(const Transaction& transaction)
{
    QJsonArray operations;
    for (const Operation& operation : transaction) {
        QJsonObject object { { "kind", kindName(operation.kind) }, { "table", QString::fromStdString(operation.table) },
            { "key", QString::fromStdString(operation.key) } };
        if (operation.kind == Operation::Kind::Put)
            insertValue(object, operation.value);
        if (operation.expectedVersion)
            object["expected"] = static_cast<qint64>(*operation.expectedVersion);
        operations.append(object);
    }
    return { { "operations", operations } };
}

Transaction transactionFromJson(const QJsonObject& object)
{
    Transaction transaction;
    for (const QJsonValue& value : object["operations"].toArray()) {
        const QJsonObject item = value.toObject();
        Operation operation;
        operation.kind = kindFromName(text(item, "kind"));
        operation.table = text(item, "table");
        operation.key = text(item, "key");
        if (operation.kind == Operation::Kind::Put)
            operation.value = readValue(item);
        if (item.contains("expected"))
            operation.expectedVersion = number(item, "expected");
        transaction.push_back(std::move(operation));
    }
    return transaction;
}

QJsonObject toJson(const CommitResult& result)
{
    QJsonArray versions;
    for (const uint64_t version : result.versions)
        versions.append(static_cast<qint64>(version));
    return { { "committed", result.committed }, { "conflicting", static_cast<qint64>(result.conflictingOperation) },
        { "versions", versions } };
}

CommitResult commitResultFromJson(const QJsonObject& object)
{
    if (!object["committed"].isBool())
        throw Error(ErrorKind::MalformedRequest, "field committed is not a boolean");
    CommitResult result;
    result.committed = object["committed"].toBool();
    result.conflictingOperation = number(object, "conflicting");
    for (const QJsonValue& version : object["versions"].toArray())
        result.versions.push_back(static_cast<uint64_t>(version.toInteger()));
    return result;
}

QJsonObject toJson(const VmEntry& entry)
{
    return { { "id", QString::fromStdString(entry.id) },
        { "role", entry.role == VmEntry::Role::Entry ? "entry" : "endpoint" },
        { "address", QString::fromStdString(entry.address) }, { "region", QString::fromStdString(entry.region) },
        { "failure_domain", QString::fromStdString(entry.failureDomain) },
        { "service", QString::fromStdString(entry.service) }, { "leaving", entry.leaving } };
}

VmEntry vmEntryFromJson(const QJsonObject& object)
{
    VmEntry entry;
    entry.id = text(object, "id");
    entry.role = text(object, "role") == "entry" ? VmEntry::Role::Entry : VmEntry::Role::Endpoint;
    entry.address = text(object, "address");
    entry.region = text(object, "region");
    entry.failureDomain = text(object, "failure_domain");
    entry.service = object["service"].toString().toStdString();
    entry.leaving = object["leaving"].toBool();
    return entry;
}

QJsonObject parse(std::string_view text)
{
    QJsonParseError error;
    const QByteArray bytes = QByteArray::fromRawData(text.data(), static_cast<qsizetype>(text.size()));
    const QJsonDocument document = QJsonDocument::fromJson(bytes, &error);
    if (error.error != QJsonParseError::NoError)
        throw Error(ErrorKind::MalformedRequest, "not JSON: " + error.errorString().toStdString());
    if (!document.isObject())
        throw Error(ErrorKind::MalformedRequest, "not a JSON object");
    return document.object();
}

}
