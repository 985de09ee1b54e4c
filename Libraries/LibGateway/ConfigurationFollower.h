#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Random.h>
#include <LibGateway/ConfigurationOffer.h>
#include <LibGateway/GatewayConfiguration.h>
#include <LibGateway/WireFormat.h>
#include <LibHTTP/HttpClient.h>
#include <LibHTTP/HttpExchange.h>
#include <LibPlatform/TableFollower.h>

#include <QObject>
#include <QTimer>

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Chicorydock {

/// A newer configuration and where it came from.
struct ReceivedConfiguration {
    GatewayConfiguration configuration;
    /// Size of the document.
    qsizetype bytes { 0 };
    /// Peer that sent it, empty if it was read from the store.
    std::string peer;

    auto operator<=>(const ReceivedConfiguration&) const = default;
};

/// Receives the operator's configuration.
class ConfigurationListener {
public:
    virtual ~ConfigurationListener() = default;

    /// Receives a configuration that is newer than all earlier ones.
    virtual void onConfiguration(const ReceivedConfiguration&) = 0;
    virtual void onUnreadableConfiguration() = 0;
    virtual void onConfigurationStoreReachable(bool) = 0;
};

/// Keeps the operator's configuration of one node up to date, from the store or from other nodes (see
/// `ConfigurationPlan.h`), and serves it to other nodes. The version never goes down, whoever sends an older one.
///
/// Thread safety: used on the thread that created it.
class ConfigurationFollower final : public QObject,
                                    public HttpHandler,
                                    private TableListener,
                                    private HttpCallObserver {
public:
    /// All parameters outlive the follower. `client` is used for calls to peers.
    ConfigurationFollower(RowStore&, const WireFormat&, const ConfigurationPeers&, HttpClient& client, const Clock&,
        Random&, ConfigurationListener&);
    ~ConfigurationFollower() override;

    /// Allows the store to be read after `storeDelay`; peers are asked at once. A further call replaces the delay, and
    /// has no effect when it has passed.
    void start(Milliseconds storeDelay);

    /// Sets whether this node reads the store for its failure domain.
    void setSource(bool);

    /// Adapts to the peers that are alive. Must be called several times a second, and when a peer reports a newer
    /// version.
    void update();

    /// Returns the version in force, 0 if none has been received.
    uint64_t version() const { return m_version; }

    /// Returns whether other nodes of the failure domain can rely on this one to read the store.
    bool isActiveSource() const;

    /// Returns whether no newer version is known, and this node reaches the store or a peer that reads it there. A
    /// version that the store accepted longer ago than a few seconds is then in force here.
    bool isCurrent() const;

    /// Answers a call of another node for the configuration.
    void handle(std::shared_ptr<HttpExchange>) override;

private:
    // TableListener
    void onTableListed(const TableListing&) override;
    void onRowsChanged(const std::vector<StoredRow>&) override;
    void onReachableChanged(bool) override;

    // HttpCallObserver
    void onHandedOver() override { }
    void onHeaders(int status, const HttpHeaders&) override;
    void onData(const QByteArray&) override;
    void onFinished() override;
    void onFailed(const HttpFailure&) override;

    bool isStoreNeeded(const std::vector<ConfigurationOffer>&);
    void fetch(const ConfigurationOffer&);
    void handleFailedFetch();
    /// Puts a configuration into force if it is newer than the one in force, and returns whether it is. The caller then
    /// keeps the compressed document.
    bool receive(const QByteArray& document, uint64_t rowVersion, const std::string& peer);

    const WireFormat& m_wire;
    const ConfigurationPeers& m_peers;
    HttpClient& m_client;
    const Clock& m_clock;
    Random& m_random;
    ConfigurationListener& m_listener;
    TableFollower m_follower;
    bool m_isSource { false };
    /// Whether the delay at the start has passed.
    bool m_mayReadStore { false };
    uint64_t m_version { 0 };
    /// The document in force, compressed, and the version of its row in the store.
    QByteArray m_document;
    uint64_t m_rowVersion { 0 };
    /// Whether a live peer reads the configuration from the store.
    bool m_hasSource { false };
    /// Time since which peers have had a newer version.
    std::optional<MonotonicTime> m_behindSince;
    std::unique_ptr<HttpCall> m_call;
    std::string m_calledPeer;
    int m_status { 0 };
    uint64_t m_receivedRowVersion { 0 };
    QByteArray m_body;
    /// Peers from which the newer version could not be fetched.
    std::set<std::string> m_failedPeers;
    QTimer m_startTimer;
    QTimer m_retryTimer;
};

}
