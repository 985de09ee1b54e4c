#include <LibBatch/ChunkRecord.h>

#include <LibCore/Error.h>

#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <array>

namespace Chicorydock {

bool ChunkRecord::hasResult(uint32_t index) const
{
    return std::ranges::any_of(segments, [index](const Segment& segment) {
        return segment.succeeded.contains(index) || segment.failed.contains(index);
    });
}

uint32_t ChunkRecord::succeeded() const
{
    uint32_t n = 0;
    for (const Segment& segment : segments)
        n += segment.succeeded.count();
    return n;
}

uint32_t ChunkRecord::failed() const
{
    uint32_t n = 0;
    for (const Segment& segment : segments)
        n += segment.failed.count();
    return n;
}

bool ChunkRecord::isClaimable(WallTime now) const
{
    return state == State::Open || (state == State::Claimed && expires <= now);
}

std::string ChunkRecord::serialize() const
{
    QJsonArray list;
    for (const Segment& segment : segments) {
        list.append(QJsonObject { { "object", QString::fromStdString(segment.object) },
            { "succeeded", segment.succeeded.toJson() }, { "failed", segment.failed.toJson() } });
    }
    static constexpr std::array stateNames { "open", "claimed", "done" };
    const QJsonObject object { { "first", static_cast<qint64>(first) }, { "count", static_cast<qint64>(count) },
        { "state", stateNames[static_cast<size_t>(state)] }, { "holder", QString::fromStdString(holder) },
        { "epoch", static_cast<qint64>(epoch) }, { "expires_ms", static_cast<qint64>(toUnixMilliseconds(expires)) },
        { "lost_claims", static_cast<qint64>(lostClaims) }, { "split", isSplit }, { "segments", list },
        { "writer", QString::fromStdString(writeToken) } };
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

ChunkRecord ChunkRecord::parse(std::string_view text)
{
    const auto document
        = QJsonDocument::fromJson(QByteArray::fromRawData(text.data(), static_cast<qsizetype>(text.size())));
    if (!document.isObject())
        throw Error(ErrorKind::Internal, "a chunk row is not a JSON object");
    const QJsonObject object = document.object();
    ChunkRecord record;
    record.first = static_cast<uint32_t>(object["first"].toInteger());
    record.count = static_cast<uint32_t>(object["count"].toInteger());
    const QString state = object["state"].toString();
    record.state = state == "done" ? State::Done : state == "claimed" ? State::Claimed : State::Open;
    record.holder = object["holder"].toString().toStdString();
    record.epoch = static_cast<uint64_t>(object["epoch"].toInteger());
    record.expires = fromUnixMilliseconds(object["expires_ms"].toInteger());
    record.lostClaims = static_cast<uint32_t>(object["lost_claims"].toInteger());
    record.isSplit = object["split"].toBool();
    for (const QJsonValue& value : object["segments"].toArray()) {
        const QJsonObject segment = value.toObject();
        record.segments.push_back({ segment["object"].toString().toStdString(),
            IndexSet::fromJson(segment["succeeded"].toArray()), IndexSet::fromJson(segment["failed"].toArray()) });
    }
    record.writeToken = object["writer"].toString().toStdString();
    return record;
}

}
