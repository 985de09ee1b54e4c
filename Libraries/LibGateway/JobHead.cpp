#include <LibGateway/JobHead.h>

#include <LibCore/Digest.h>
#include <LibGateway/SlotScheduler.h>

#include <QDataStream>
#include <QIODevice>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <limits>
#include <optional>

namespace Chicorydock {

namespace {

    /// A partition applies 200 transactions a second, so this many partitions allow more than the whole store does.
    constexpr uint32_t partitionCount = 16;

    /// Largest number of tokens of a job, so that those of all jobs can be summed up.
    constexpr qint64 maxJobTokens = 1'000'000'000'000;

    /// Latest time of the store, so that durations can be added to it.
    constexpr Milliseconds maxStoreTime = std::chrono::hours { 24 * 365 * 100 };

    /// Positions are padded with zeros, so that keys sort in numerical order.
    constexpr int positionDigits = 6;

    /// Separates the key of a content from the number of its part. It sorts before any digit, so that the parts of a
    /// content precede the next position.
    constexpr char partSeparator = '+';

    QString text(const std::string& it) { return QString::fromStdString(it); }

    std::string positionText(size_t position)
    {
        return QByteArray::number(static_cast<qulonglong>(position)).rightJustified(positionDigits, '0').toStdString();
    }

    std::string numberedKey(const std::string& jobId, size_t number) { return jobId + '/' + positionText(number); }

    /// Returns the range of the numbered rows of a job, starting at `from`.
    RowRange numberedRange(const char* table, const std::string& jobId, size_t from)
    {
        // '0' follows '/' in ASCII, so the range ends after the last key of this job.
        return { table, JobRows::partition(jobId), numberedKey(jobId, from), jobId + '0' };
    }

    /// Returns the range of the rows that hold the content of a job.
    RowRange contentRange(const char* table, const std::string& jobId)
    {
        return { table, JobRows::partition(jobId), jobId, jobId + static_cast<char>(partSeparator + 1) };
    }

    const char* stateName(JobHead::State state)
    {
        switch (state) {
        case JobHead::State::Done:
            return "done";
        case JobHead::State::Cancelled:
            return "ended";
        default:
            return "open";
        }
    }

    std::optional<JobHead::State> stateOf(const QString& name)
    {
        for (const JobHead::State it : { JobHead::State::Open, JobHead::State::Done, JobHead::State::Cancelled }) {
            if (name == stateName(it))
                return it;
        }
        return {};
    }

    /// Returns the number, at least 0 and at most `max`; 0 if it is not a whole number of 64 bits.
    qint64 bounded(const QJsonValue& number, qint64 max) { return std::clamp<qint64>(number.toInteger(), 0, max); }

}

QByteArray encodeJobHead(const JobHead& record)
{
    QJsonObject object {
        { "state", stateName(record.state) },
        { "owner", text(record.owner) },
        { "route", text(record.route) },
        { "host", text(record.host) },
        { "tokens", static_cast<qint64>(record.tokens) },
        { "items", static_cast<qint64>(record.itemCount) },
        { "submitted_at_ms", static_cast<qint64>(record.submittedAt.count()) },
        { "input_object", text(record.inputObject) },
    };
    if (!record.workspace.empty())
        object["workspace"] = text(record.workspace);
    return QJsonDocument(object).toJson(QJsonDocument::Compact);
}

std::optional<JobHead> decodeJobHead(const StoredRow& row)
{
    const QJsonDocument document = QJsonDocument::fromJson(row.value);
    if (!document.isObject())
        return {};
    const QJsonObject object = document.object();
    const auto state = stateOf(object["state"].toString());
    if (!state || !object["route"].isString())
        return {};
    JobHead record;
    record.id = row.address.key;
    record.state = *state;
    record.owner = object["owner"].toString().toStdString();
    record.route = object["route"].toString().toStdString();
    record.host = object["host"].toString().toStdString();
    record.tokens = static_cast<uint64_t>(bounded(object["tokens"], maxJobTokens));
    record.itemCount = static_cast<uint32_t>(bounded(object["items"], std::numeric_limits<uint32_t>::max()));
    record.submittedAt = Milliseconds { bounded(object["submitted_at_ms"], maxStoreTime.count()) };
    record.inputObject = object["input_object"].toString().toStdString();
    record.workspace = object["workspace"].toString().toStdString();
    record.version = row.version;
    return record;
}

QByteArray encodeJobItems(const std::vector<JobItem>& items)
{
    QByteArray bytes;
    QDataStream stream(&bytes, QIODevice::WriteOnly);
    stream << static_cast<quint32>(items.size());
    for (const JobItem& it : items) {
        stream << QByteArray::fromStdString(it.id) << it.path << it.body << static_cast<quint64>(it.tokens)
               << static_cast<quint32>(it.headers.fields().size());
        for (const auto& [name, value] : it.headers.fields())
            stream << name << value;
    }
    return bytes;
}

std::optional<std::vector<JobItem>> decodeJobItems(const QByteArray& bytes)
{
    QDataStream stream(bytes);
    quint32 count = 0;
    stream >> count;
    std::vector<JobItem> items;
    for (quint32 n = 0; n < count && stream.status() == QDataStream::Ok; ++n) {
        JobItem item;
        QByteArray id;
        quint64 tokens = 0;
        quint32 fields = 0;
        stream >> id >> item.path >> item.body >> tokens >> fields;
        for (quint32 k = 0; k < fields && stream.status() == QDataStream::Ok; ++k) {
            QByteArray name;
            QByteArray value;
            stream >> name >> value;
            item.headers.add(name, value);
        }
        item.id = id.toStdString();
        item.tokens = tokens;
        items.push_back(std::move(item));
    }
    if (stream.status() != QDataStream::Ok)
        return {};
    return items;
}

QByteArray encodeJobProgress(const std::vector<ItemProgress>& items)
{
    QByteArray bytes;
    QDataStream stream(&bytes, QIODevice::WriteOnly);
    stream << static_cast<quint32>(items.size());
    for (const ItemProgress& it : items)
        stream << QByteArray::fromStdString(it.itemId) << static_cast<quint64>(it.fromEventId)
               << static_cast<quint64>(it.lastEventId) << it.output;
    // Earlier builds end here and ignore what follows.
    for (const ItemProgress& it : items)
        stream << QByteArray::fromStdString(it.origin.service) << QByteArray::fromStdString(it.origin.softwareVersion)
               << static_cast<quint32>(it.failedRuns);
    return bytes;
}

std::optional<std::vector<ItemProgress>> decodeJobProgress(const QByteArray& bytes)
{
    QDataStream stream(bytes);
    quint32 count = 0;
    stream >> count;
    std::vector<ItemProgress> items;
    for (quint32 n = 0; n < count && stream.status() == QDataStream::Ok; ++n) {
        QByteArray id;
        quint64 fromEventId = 0;
        quint64 lastEventId = 0;
        ItemProgress item;
        stream >> id >> fromEventId >> lastEventId >> item.output;
        item.itemId = id.toStdString();
        item.fromEventId = fromEventId;
        item.lastEventId = lastEventId;
        items.push_back(std::move(item));
    }
    for (ItemProgress& it : items) {
        if (stream.atEnd())
            break;
        QByteArray service;
        QByteArray softwareVersion;
        quint32 failedRuns = 0;
        stream >> service >> softwareVersion >> failedRuns;
        it.failedRuns = failedRuns;
        it.origin = { service.toStdString(), softwareVersion.toStdString() };
    }
    if (stream.status() != QDataStream::Ok)
        return {};
    return items;
}

QByteArray encodeJobResult(const JobResult& result)
{
    QByteArray bytes;
    QDataStream stream(&bytes, QIODevice::WriteOnly);
    stream << QByteArray::fromStdString(result.itemId) << result.isCompleted << result.output;
    return bytes;
}

std::optional<JobResult> decodeJobResult(const QByteArray& bytes)
{
    QDataStream stream(bytes);
    QByteArray id;
    JobResult result;
    stream >> id >> result.isCompleted >> result.output;
    if (stream.status() != QDataStream::Ok)
        return {};
    result.itemId = id.toStdString();
    return result;
}

namespace JobRows {

    std::string scopedId(const std::string& workspace, const std::string& callerId)
    {
        const QByteArray scope = QByteArray::number(static_cast<qulonglong>(stableHash(workspace)), 16);
        return callerId + scopeSeparator + scope.toStdString();
    }

    std::string partition(const std::string& jobId)
    {
        return "p" + std::to_string(SlotPeers::endpointKey(jobId) % partitionCount);
    }

    std::vector<std::string> partitions()
    {
        std::vector<std::string> names;
        for (uint32_t n = 0; n < partitionCount; ++n)
            names.push_back("p" + std::to_string(n));
        return names;
    }

    RowAddress record(const std::string& jobId) { return { recordTable, partition(jobId), jobId }; }

    RowAddress input(const std::string& jobId) { return { inputTable, partition(jobId), jobId }; }

    RowRange inputRange(const std::string& jobId) { return contentRange(inputTable, jobId); }

    RowAddress progress(const std::string& jobId, size_t number)
    {
        return { progressTable, partition(jobId), numberedKey(jobId, number) };
    }

    RowRange progressRange(const std::string& jobId) { return numberedRange(progressTable, jobId, 0); }

    RowAddress result(const std::string& jobId, size_t position)
    {
        return { resultTable, partition(jobId), numberedKey(jobId, position) };
    }

    RowRange resultRange(const std::string& jobId, size_t from) { return numberedRange(resultTable, jobId, from); }

    size_t numberOf(const std::string& key)
    {
        return QByteArray::fromStdString(key.substr(key.rfind('/') + 1)).toULongLong();
    }

    std::vector<RowWrite> split(const RowAddress& address, const QByteArray& content)
    {
        const qsizetype parts = std::max<qsizetype>(1, (content.size() + maxRowBytes - 1) / maxRowBytes);
        std::vector<RowWrite> rows;
        for (qsizetype n = 0; n < parts; ++n) {
            RowAddress row = address;
            QByteArray value = content.mid(n * maxRowBytes, maxRowBytes);
            if (n == 0)
                value.prepend(QByteArray::number(parts) + '\n');
            else
                row.key += partSeparator + positionText(static_cast<size_t>(n));
            rows.push_back({ std::move(row), std::move(value) });
        }
        return rows;
    }

    std::vector<std::pair<std::string, QByteArray>> join(const std::vector<StoredRow>& rows)
    {
        std::vector<std::pair<std::string, QByteArray>> contents;
        for (size_t n = 0; n < rows.size();) {
            const qsizetype end = rows[n].value.indexOf('\n');
            const size_t parts = end < 0 ? 0 : rows[n].value.first(end).toULongLong();
            if (parts == 0 || parts > rows.size() - n)
                break;
            QByteArray content = rows[n].value.mid(end + 1);
            for (size_t k = 1; k < parts; ++k)
                content += rows[n + k].value;
            contents.emplace_back(rows[n].address.key, std::move(content));
            n += parts;
        }
        return contents;
    }

}

}
