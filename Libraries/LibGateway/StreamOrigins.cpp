#include <LibGateway/StreamOrigins.h>

#include <LibGateway/JobHead.h>

#include <QCryptographicHash>
#include <QJsonDocument>
#include <QJsonObject>

#include <utility>

namespace Chicorydock {

namespace {

    const std::string originTable = "stream_origin";
    const std::string defaultVersionTable = "default_version";

    /// A default version may be used for long after it has ended, so it need not be followed closely.
    constexpr Milliseconds followWait { 5'000 };

    constexpr Milliseconds retryDelay { 200 };

    /// Time after which a stream is no longer resumed.
    constexpr Milliseconds recordLifetime { 60'000 };

    /// A record that could not be written for this long is of little use: most streams have ended.
    constexpr Milliseconds writeTimeout { 10'000 };

    RowAddress rowOf(const std::string& stream)
    {
        // The identifier comes from the caller and may be too long for a key.
        const QByteArray key
            = QCryptographicHash::hash(QByteArray::fromStdString(stream), QCryptographicHash::Sha1).toHex();
        return { originTable, JobRows::partition(key.toStdString()), key.toStdString() };
    }

    QByteArray encode(const StreamOrigin& origin)
    {
        const QJsonObject object { { "service", QString::fromStdString(origin.service) },
            { "software_version", QString::fromStdString(origin.softwareVersion) } };
        return QJsonDocument(object).toJson(QJsonDocument::Compact);
    }

    std::optional<StreamOrigin> decode(const QByteArray& value)
    {
        const QJsonObject object = QJsonDocument::fromJson(value).object();
        if (!object["service"].isString() || !object["software_version"].isString())
            return {};
        return StreamOrigin { object["service"].toString().toStdString(),
            object["software_version"].toString().toStdString() };
    }

}

StreamOrigins::StreamOrigins(RowStore& store, const Clock& clock)
    : m_store(store)
    , m_clock(clock)
    , m_follower(store, { defaultVersionTable, { "" }, followWait }, *this)
{
}

const std::string& StreamOrigins::defaultTable() { return defaultVersionTable; }

StreamOrigins::~StreamOrigins() { *m_lifetime = false; }

void StreamOrigins::onTableListed(const TableListing& listing) { onRowsChanged(listing.rows); }

void StreamOrigins::onRowsChanged(const std::vector<StoredRow>& rows)
{
    for (const StoredRow& it : rows) {
        if (const auto row = decodeDefaultVersion(it.address.key, it.value, it.version))
            m_defaults.put(*row);
    }
}

void StreamOrigins::setStoreReachable(bool isReachable)
{
    m_isStoreReachable = isReachable;
    // The next record shows whether the store takes writes as well.
    m_isFailing = m_isFailing && !isReachable;
}

bool StreamOrigins::needsRecord(const StreamOrigin& origin) const
{
    return m_defaults.find(origin.service) != origin.softwareVersion;
}

void StreamOrigins::record(const std::string& stream, const StreamOrigin& origin, std::function<void()> onRecorded)
{
    const RowAddress row = rowOf(stream);
    // The condition makes a write that is applied late, after a repeat, have no effect.
    const RowTransaction transaction { { { row, 0 } }, { { row, encode(origin) } }, {} };
    commit(std::make_shared<PendingRecord>(
        PendingRecord { transaction, std::move(onRecorded), m_clock.now() + writeTimeout }));
}

void StreamOrigins::commit(const std::shared_ptr<PendingRecord>& pending)
{
    m_store.commit(pending->transaction, [this, pending, lifetime = m_lifetime](const StoreResult<RowCommit>& result) {
        if (!*lifetime)
            return;
        const auto* commit = std::get_if<RowCommit>(&result);
        m_isFailing = !commit;
        if (!commit) {
            retry(pending);
            return;
        }
        const RowWrite& write = pending->transaction.writes.front();
        const bool isRecorded
            = commit->isCommitted || (!commit->current.empty() && commit->current.front().value == write.value);
        m_written.push_back({ write.row, m_clock.now() });
        if (isRecorded)
            pending->onRecorded();
    });
}

void StreamOrigins::retry(const std::shared_ptr<PendingRecord>& pending)
{
    if (m_clock.now() > pending->expiresAt)
        return;
    QTimer::singleShot(retryDelay, this, [this, pending] { commit(pending); });
}

void StreamOrigins::find(const std::string& stream, const std::optional<std::string>& service,
    RowStore::Reply<std::optional<StreamOrigin>> reply)
{
    const RowAddress row = rowOf(stream);
    const RowRange range { row.table, row.partition, row.key, row.key + '\0' };
    m_store.read(
        range, [this, service, reply = std::move(reply), lifetime = m_lifetime](const StoreResult<RowPage>& result) {
            if (!*lifetime)
                return;
            const auto* page = std::get_if<RowPage>(&result);
            if (!page) {
                reply(std::get<StoreFailure>(result));
                return;
            }
            if (!page->rows.empty()) {
                reply(decode(page->rows.front().value));
                return;
            }
            if (service)
                replyWithDefault(*service, reply);
            else
                reply(std::nullopt);
        });
}

void StreamOrigins::replyWithDefault(
    const std::string& service, const RowStore::Reply<std::optional<StreamOrigin>>& reply)
{
    readDefault(service, [service, reply](const StoreResult<std::optional<std::string>>& result) {
        const auto* softwareVersion = std::get_if<std::optional<std::string>>(&result);
        if (!softwareVersion)
            reply(std::get<StoreFailure>(result));
        else
            reply(*softwareVersion ? std::optional(StreamOrigin { service, **softwareVersion }) : std::nullopt);
    });
}

void StreamOrigins::readDefault(const std::string& service, RowStore::Reply<std::optional<std::string>> reply)
{
    m_store.read({ defaultVersionTable, "", service, service + '\0' },
        [this, service, reply = std::move(reply), lifetime = m_lifetime](const StoreResult<RowPage>& result) {
            if (!*lifetime)
                return;
            const auto* page = std::get_if<RowPage>(&result);
            if (!page) {
                reply(std::get<StoreFailure>(result));
                return;
            }
            onRowsChanged(page->rows);
            reply(m_defaults.find(service));
        });
}

void StreamOrigins::updateDefaults(const std::map<std::string, VersionCounts>& services)
{
    const auto storeTime = m_store.time();
    if (!storeTime)
        return;
    for (const DefaultVersion& it : m_defaults.dueChanges(services, *storeTime)) {
        const RowAddress row { defaultVersionTable, "", it.service };
        m_store.commit({ { { row, it.rowVersion } }, { { row, encodeDefaultVersion(it) } }, {} },
            [this, it, lifetime = m_lifetime](const StoreResult<RowCommit>& result) {
                const auto* commit = std::get_if<RowCommit>(&result);
                if (!*lifetime || !commit)
                    return;
                DefaultVersion written = it;
                written.rowVersion = commit->version;
                if (commit->isCommitted)
                    m_defaults.put(written);
                else
                    onRowsChanged(commit->current);
            });
    }
}

void StreamOrigins::removeOldRecords()
{
    std::map<std::string, RowTransaction> transactions;
    while (!m_written.empty() && m_clock.now() - m_written.front().at > recordLifetime) {
        RowTransaction& transaction = transactions[m_written.front().row.partition];
        if (transaction.entries() >= RowTransaction::maxEntries)
            break;
        transaction.removals.push_back(std::move(m_written.front().row));
        m_written.pop_front();
    }
    // A record whose removal fails stays; it does no harm.
    for (const auto& [partition, transaction] : transactions)
        m_store.commit(transaction, [](const StoreResult<RowCommit>&) {});
}

}
