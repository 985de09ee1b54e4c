#include <LibBatch/JobRecord.h>

#include <LibCore/Error.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace Chicorydock {

namespace {

    JobView::State stateFromName(const std::string& name)
    {
        for (const auto state : { JobView::State::InProgress, JobView::State::Completed, JobView::State::Cancelling,
                 JobView::State::Cancelled }) {
            if (stateName(state) == name)
                return state;
        }
        throw Error(ErrorKind::Internal, "a job row has the unknown state " + name);
    }

}

std::string JobRecord::serialize() const
{
    QJsonArray pathList;
    for (const std::string& path : paths)
        pathList.append(QString::fromStdString(path));
    const QJsonObject object { { "id", QString::fromStdString(id) }, { "workspace", QString::fromStdString(workspace) },
        { "state", QString::fromUtf8(stateName(state).data()) }, { "total", static_cast<qint64>(total) },
        { "chunk_items", static_cast<qint64>(chunkItems) }, { "paths", pathList }, { "unrepeatable", unrepeatable },
        { "created_ms", static_cast<qint64>(toUnixMilliseconds(created)) },
        { "deadline_ms", static_cast<qint64>(toUnixMilliseconds(deadline)) },
        { "digest", QString::fromStdString(digest) }, { "completed", static_cast<qint64>(completed) },
        { "failed", static_cast<qint64>(failed) }, { "writer", QString::fromStdString(writeToken) } };
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

JobRecord JobRecord::parse(std::string_view text)
{
    const auto document
        = QJsonDocument::fromJson(QByteArray::fromRawData(text.data(), static_cast<qsizetype>(text.size())));
    if (!document.isObject())
        throw Error(ErrorKind::Internal, "a job row is not a JSON object");
    const QJsonObject object = document.object();
    JobRecord record;
    record.id = object["id"].toString().toStdString();
    record.workspace = object["workspace"].toString().toStdString();
    record.state = stateFromName(object["state"].toString().toStdString());
    record.total = static_cast<uint32_t>(object["total"].toInteger());
    record.chunkItems = static_cast<uint32_t>(object["chunk_items"].toInteger());
    if (record.chunkItems == 0)
        throw Error(ErrorKind::Internal, "a job row has chunks without items");
    for (const QJsonValue& path : object["paths"].toArray())
        record.paths.push_back(path.toString().toStdString());
    record.unrepeatable = object["unrepeatable"].toBool();
    record.created = fromUnixMilliseconds(object["created_ms"].toInteger());
    record.deadline = fromUnixMilliseconds(object["deadline_ms"].toInteger());
    record.digest = object["digest"].toString().toStdString();
    record.completed = static_cast<uint32_t>(object["completed"].toInteger());
    record.failed = static_cast<uint32_t>(object["failed"].toInteger());
    record.writeToken = object["writer"].toString().toStdString();
    return record;
}

}
