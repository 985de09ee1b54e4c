#include <LibBatch/SegmentFile.h>

#include <LibBatch/ItemFile.h>

#include <QJsonDocument>

#include <charconv>

namespace Chicorydock::SegmentFile {

namespace {

    constexpr int firstErrorStatus = 400;

}

std::string resultLine(const BatchItem& item, const ItemResult& result)
{
    QJsonValue error;
    if (!isSuccess(result)) {
        const QJsonObject details = result.body["error"].toObject();
        error = QJsonObject { { "code", details["kind"] }, { "message", details["message"] } };
    }
    const QJsonObject line { { "id", QString::fromStdString(item.jobId + "-" + std::to_string(item.index)) },
        { "custom_id", QString::fromStdString(item.customId) },
        { "response", QJsonObject { { "status_code", result.status }, { "body", result.body } } }, { "error", error } };
    return QJsonDocument(line).toJson(QJsonDocument::Compact).toStdString();
}

ItemResult errorResult(ErrorKind kind, const std::string& message)
{
    const ErrorRow& row = errorRow(kind);
    const QString name = QString::fromUtf8(row.name.data(), static_cast<qsizetype>(row.name.size()));
    const QJsonObject error { { "kind", name }, { "type", name }, { "message", QString::fromStdString(message) },
        { "not_run", row.notRun } };
    return { row.httpStatus, { { "error", error } } };
}

bool isSuccess(const ItemResult& result) { return result.status < firstErrorStatus; }

std::string serialize(const Lines& lines)
{
    std::string text;
    for (const auto& [index, line] : lines)
        text += std::to_string(index) + '\t' + line + '\n';
    return text;
}

Lines parse(std::string_view text)
{
    Lines result;
    for (const std::string_view line : ItemFile::lines(text)) {
        uint32_t index = 0;
        const auto [end, ec] = std::from_chars(line.data(), line.data() + line.size(), index);
        if (ec != std::errc {} || end == line.data() + line.size() || *end != '\t')
            throw Error(ErrorKind::Internal, "a result object has a line without an index");
        result.emplace(index, std::string(end + 1, line.data() + line.size()));
    }
    return result;
}

}
