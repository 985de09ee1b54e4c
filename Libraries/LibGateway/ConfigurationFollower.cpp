#include <LibGateway/ConfigurationFollower.h>

#include <LibGateway/ConfigurationPlan.h>
#include <LibGateway/FeedTiming.h>

#include <QtEndian>

#include <algorithm>
#include <utility>

namespace Chicorydock {

namespace {

    const QByteArray configurationPath = "/configuration";
    const QByteArray rowVersionField = "Row-Version";

    /// Longest time without progress of a call to a peer.
    constexpr Milliseconds peerTimeout { 500 };
    constexpr Milliseconds fetchRetryDelay { 50 };

    /// Time for which a newer version of the peers is fetched from them only; after that the store is read as well.
    constexpr Milliseconds maxFetchTime { 800 };

    /// Limit on the size of a document, so that a peer cannot exhaust the memory.
    constexpr qsizetype maxDocumentBytes = 32 * 1024 * 1024;

    /// The documents are repetitive; the fastest level shrinks them to a tenth.
    constexpr int compressionLevel = 1;

    /// Returns an empty document if the bytes are not a compressed one.
    QByteArray uncompress(const QByteArray& bytes)
    {
        // The compressed form begins with the size of the document.
        if (bytes.size() < static_cast<qsizetype>(sizeof(quint32))
            || qFromBigEndian<quint32>(bytes.constData()) > maxDocumentBytes)
            return {};
        return qUncompress(bytes);
    }

}

ConfigurationFollower::ConfigurationFollower(RowStore& store, const WireFormat& wire, const ConfigurationPeers& peers,
    HttpClient& client, const Clock& clock, Random& random, ConfigurationListener& listener)
    : m_wire(wire)
    , m_peers(peers)
    , m_client(client)
    , m_clock(clock)
    , m_random(random)
    , m_listener(listener)
    , m_follower(
          store, { wire.configurationTable(), { "" }, FeedTiming::waitFor(FeedTiming::maxConfigurationViewAge) }, *this)
{
    for (QTimer* it : { &m_startTimer, &m_retryTimer })
        it->setSingleShot(true);
    connect(&m_startTimer, &QTimer::timeout, this, [this] {
        m_mayReadStore = true;
        update();
    });
    connect(&m_retryTimer, &QTimer::timeout, this, &ConfigurationFollower::update);
    m_follower.pause();
    m_follower.start();
}

ConfigurationFollower::~ConfigurationFollower() = default;

void ConfigurationFollower::start(Milliseconds storeDelay)
{
    if (!m_mayReadStore)
        m_startTimer.start(storeDelay);
}

void ConfigurationFollower::setSource(bool isSource)
{
    if (std::exchange(m_isSource, isSource) != isSource)
        update();
}

bool ConfigurationFollower::isActiveSource() const
{
    return m_isSource && m_version > 0 && !m_follower.isPaused() && m_follower.isListed() && m_follower.isReachable();
}

bool ConfigurationFollower::isCurrent() const
{
    const bool followsStore = !m_follower.isPaused() && m_follower.isReachable();
    return m_version > 0 && !m_behindSince && (followsStore || m_hasSource);
}

void ConfigurationFollower::update()
{
    const std::vector<ConfigurationOffer> offers = m_peers.configurationOffers();
    const bool isBehind = std::ranges::any_of(offers, [&](const auto& it) { return it.version > m_version; });
    m_hasSource = std::ranges::any_of(offers, &ConfigurationOffer::isSource);
    if (!isBehind)
        m_behindSince.reset();
    else if (!m_behindSince)
        m_behindSince = m_clock.now();
    if (isStoreNeeded(offers))
        m_follower.resume();
    else
        m_follower.pause();
    // A node that follows the store gets the newer version from there at the same time.
    const bool followsStore = !m_follower.isPaused() && m_follower.isReachable();
    if (!isBehind || followsStore || m_call)
        return;
    if (const auto offer = chooseOffer(offers, m_version, m_failedPeers, m_random))
        fetch(*offer);
    else
        m_failedPeers.clear();
}

bool ConfigurationFollower::isStoreNeeded(const std::vector<ConfigurationOffer>& offers)
{
    if (!m_mayReadStore)
        return false;
    const bool isFetching = m_behindSince && m_clock.now() - *m_behindSince <= maxFetchTime;
    // A node that has just started gets its first configuration from a peer, if one has it.
    if (m_version == 0 && isFetching)
        return false;
    return mustFollowStore(m_isSource, offers) || (m_behindSince && !isFetching);
}

void ConfigurationFollower::fetch(const ConfigurationOffer& offer)
{
    m_calledPeer = offer.node;
    m_status = 0;
    m_body.clear();
    m_call = m_client.start({ .address = offer.address,
                                .method = "GET",
                                .target = configurationPath,
                                .headers = {},
                                .body = {},
                                .progressTimeout = peerTimeout,
                                .connectTimeout = peerTimeout },
        *this);
}

void ConfigurationFollower::onHeaders(int status, const HttpHeaders& headers)
{
    m_status = status;
    m_receivedRowVersion = headers.find(rowVersionField).value_or(QByteArray()).toULongLong();
}

void ConfigurationFollower::onData(const QByteArray& data)
{
    m_body += data;
    if (m_body.size() > maxDocumentBytes)
        handleFailedFetch();
}

void ConfigurationFollower::onFinished()
{
    const QByteArray document = m_status == 200 ? uncompress(m_body) : QByteArray();
    if (document.isEmpty() || !receive(document, m_receivedRowVersion, m_calledPeer)) {
        handleFailedFetch();
        return;
    }
    m_call.reset();
    m_document = std::exchange(m_body, {});
    m_failedPeers.clear();
    m_follower.skipTo(m_rowVersion);
    update();
}

void ConfigurationFollower::onFailed(const HttpFailure&) { handleFailedFetch(); }

void ConfigurationFollower::handleFailedFetch()
{
    m_call.reset();
    m_body.clear();
    m_failedPeers.insert(m_calledPeer);
    m_retryTimer.start(fetchRetryDelay);
}

void ConfigurationFollower::onTableListed(const TableListing& listing) { onRowsChanged(listing.rows); }

void ConfigurationFollower::onRowsChanged(const std::vector<StoredRow>& rows)
{
    // Of several versions, only the newest one takes effect.
    for (auto it = rows.rbegin(); it != rows.rend(); ++it) {
        const bool isConfiguration = it->address.key == m_wire.configurationKey() && !it->isRemoved;
        if (isConfiguration && receive(it->value, it->version, {})) {
            m_document = qCompress(it->value, compressionLevel);
            return;
        }
    }
}

void ConfigurationFollower::onReachableChanged(bool isReachable)
{
    m_listener.onConfigurationStoreReachable(isReachable);
}

bool ConfigurationFollower::receive(const QByteArray& document, uint64_t rowVersion, const std::string& peer)
{
    auto configuration = m_wire.decodeConfiguration(document);
    if (!configuration) {
        m_listener.onUnreadableConfiguration();
        return false;
    }
    // A listing may be older than the version in force, which must never be replaced by an earlier one.
    if (configuration->version <= m_version)
        return false;
    m_version = configuration->version;
    m_rowVersion = rowVersion;
    m_listener.onConfiguration({ std::move(*configuration), document.size(), peer });
    return true;
}

void ConfigurationFollower::handle(std::shared_ptr<HttpExchange> exchange)
{
    if (exchange->request().path != configurationPath || m_version == 0) {
        exchange->answer({ .status = 404 });
        return;
    }
    exchange->answer({ .status = 200,
        .headers = { { "Content-Type", "application/octet-stream" },
            { rowVersionField, QByteArray::number(static_cast<qulonglong>(m_rowVersion)) } },
        .body = m_document });
}

}
