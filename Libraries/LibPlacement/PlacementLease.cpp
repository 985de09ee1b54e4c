#include <LibPlacement/PlacementLease.h>

#include <LibCore/Error.h>

#include <QJsonDocument>
#include <QJsonObject>

namespace Chicorydock {

namespace {

    constexpr auto table = "leases";

    std::string encode(const std::string& holder, uint64_t epoch)
    {
        const QJsonObject object {
            { "holder", QString::fromStdString(holder) },
            // JSON numbers cannot represent all integers above 2^53.
            { "epoch", QString::number(epoch) },
        };
        return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
    }

}

PlacementLease::PlacementLease(
    TableService& tableService, const Clock& clock, std::string domain, std::string holder, Milliseconds duration)
    : m_table(tableService)
    , m_clock(clock)
    , m_domain(std::move(domain))
    , m_holder(std::move(holder))
    , m_duration(duration)
{
}

std::optional<HeldLease> PlacementLease::acquireOrRenew()
{
    const MonotonicTime started = m_clock.now();
    const auto row = m_table.get(table, m_domain);
    if (!row)
        return write(row, {}, started);
    const auto document = QJsonDocument::fromJson(QByteArray::fromStdString(row->value));
    const Content current { document["holder"].toString().toStdString(), document["epoch"].toString().toULongLong() };
    if (current.epoch == 0)
        throw Error { ErrorKind::Internal, "table leases: malformed row " + m_domain };
    if (current.holder == m_holder || mayTakeOver(*row, current, m_clock.now()))
        return write(row, current, started);
    return {};
}

void PlacementLease::release()
{
    const auto row = m_table.get(table, m_domain);
    if (!row || row->value != encode(m_holder, m_acquiredEpoch))
        return;
    m_table.commit({ Operation::put(table, m_domain, encode({}, m_acquiredEpoch), row->version) });
}

std::optional<HeldLease> PlacementLease::write(
    const std::optional<Row>& row, const Content& current, MonotonicTime started)
{
    // A renewal keeps the epoch. A row that names this process as the holder of an epoch that it does not know stems
    // from a write whose response was lost.
    const bool isOwn = row && current.holder == m_holder;
    const uint64_t epoch = isOwn ? current.epoch : current.epoch + 1;
    if (epoch != m_acquiredEpoch)
        m_hasPredecessor = epoch > 1;
    const uint64_t version = row ? row->version : 0;
    const auto result = m_table.commit({ Operation::put(table, m_domain, encode(m_holder, epoch), version) });
    if (!result.committed)
        return {};
    m_acquiredEpoch = epoch;
    return HeldLease { epoch, started + m_duration, m_hasPredecessor };
}

bool PlacementLease::mayTakeOver(const Row& row, const Content& current, MonotonicTime now)
{
    if (row.version != m_seenVersion) {
        m_seenVersion = row.version;
        m_seenAt = now;
    }
    const bool isReleased = current.holder.empty();
    return isReleased || now - m_seenAt >= m_duration;
}

}
