#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/DomainFeedPlan.h>
#include <LibGateway/FeedCall.h>
#include <LibGateway/FeedServer.h>
#include <LibGateway/TableCopy.h>
#include <LibHTTP/HttpClient.h>
#include <LibHTTP/HttpExchange.h>
#include <LibLog/EventLog.h>
#include <LibPlatform/RowStore.h>

#include <QObject>
#include <QTimer>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Chicorydock {

/// The store as a node of a large failure domain uses it: tables that all nodes follow come from the sources of the
/// failure domain (see `DomainFeedPlan.h`), everything else from the store. A source answers from the copies of its
/// tables, so that each change crosses the link to the store once for each source and not once for each node.
///
/// A call for changes that no source answers in time is made at the store, before the view gets older than
/// `FeedTiming::maxSourceDelay` allows. A listing that no source gives is made at the store after a delay that differs
/// between the nodes. The version of a table never goes down, whoever answers.
///
/// Load: thousands of registrations that hundreds of nodes follow over one link between regions.
///
/// Thread safety: used on the thread that created it.
class DomainFeed final : public QObject, public RowStore, public HttpHandler {
public:
    /// A table of which all nodes need all rows. Its rows are in the empty partition.
    struct Table {
        std::string name;
        /// Whether each node lists it in the store at its start, because sources are chosen by what it says.
        bool isListedAtOnce { false };
    };

    /// Bytes of tables.
    struct Traffic {
        /// Values of rows that were read from the store.
        uint64_t fromStore { 0 };
        /// Bodies from sources.
        uint64_t fromSources { 0 };
        /// Bodies to other nodes.
        uint64_t toPeers { 0 };
    };

    /// All parameters outlive the feed; the client is used for calls to sources.
    DomainFeed(RowStore&, HttpClient&, const Clock&, EventLog&, const std::vector<Table>&);
    ~DomainFeed() override;

    /// Sets where tables come from. Must be called several times a second, so that lost sources are replaced in time.
    void setPlan(const FeedPlan&);

    /// Ends the calls of other nodes, which then ask another source. For a node that stops.
    void stopServing() { m_server.stop(); }

    /// Returns whether tables come from another node.
    bool usesSource() const { return !m_plan.sources.empty(); }

    Traffic traffic() const;

    // RowStore
    void read(const RowRange&, Reply<RowPage>) override;
    void commit(const RowTransaction& transaction, Reply<RowCommit> reply) override
    {
        m_store.commit(transaction, std::move(reply));
    }
    std::optional<Milliseconds> time() const override { return m_store.time(); }
    void changes(const std::string& table, uint64_t after, Milliseconds wait, Reply<RowPage>) override;
    void putObject(const std::string& name, const QByteArray& content, Reply<bool> reply) override
    {
        m_store.putObject(name, content, std::move(reply));
    }
    void getObject(const std::string& name, Reply<QByteArray> reply) override
    {
        m_store.getObject(name, std::move(reply));
    }

    /// Answers a call of another node for a table.
    void handle(std::shared_ptr<HttpExchange>) override;

private:
    /// A listing that waits for a source or for the store.
    struct Listing {
        RowRange range;
        Reply<RowPage> reply;
        MonotonicTime since;
        bool isCalling { false };
    };

    struct Feed {
        TableCopy copy;
        bool isListedAtOnce { false };
        std::optional<Listing> listing;
        /// Time since which a listing has been wanted, also after failed calls.
        std::optional<MonotonicTime> listingSince;
        /// Number of calls of the listing that have failed at the store.
        int failures { 0 };
        /// Pages that the store has returned so far, the version of the first one, and the time at which it came.
        std::vector<StoredRow> listedRows;
        uint64_t listedVersion { 0 };
        MonotonicTime listedAt;
    };

    /// A call for changes.
    struct ChangesCall {
        std::string table;
        uint64_t after { 0 };
        Milliseconds wait { 0 };
        Reply<RowPage> reply;
    };

    using ResultHandler = std::function<void(const FeedCall::Result&)>;

    void callSource(const FeedSource&, const FeedRequest&, Milliseconds patience, const ResultHandler&);
    /// Returns the preferred source that has not failed lately, null if there is none.
    const FeedSource* usableSource() const;
    void markFailed(const FeedSource&, const std::string& table, int status);
    void recordChoice();

    void proceedWithListings();
    void proceedWithListing(const std::string& table);
    /// Returns whether the node may list the table at the store.
    bool hasTurn(const Feed&) const;
    /// The same for a table that is listed at once, whose listing may have failed.
    bool hasTurnToRepeat(const Feed&) const;
    void listFromSource(const std::string& table, const FeedSource&);
    void listFromStore(const RowRange&, const Reply<RowPage>&);
    void recordListedPage(const RowRange&, const RowPage&);
    /// Records a listing and answers the calls that wait for it.
    void putListing(
        const std::string& table, const std::vector<StoredRow>&, uint64_t version, MonotonicTime confirmedAt);

    void followSource(const FeedSource&, const ChangesCall&);
    void followStore(const ChangesCall&);
    /// Asks the store without waiting, and a source if that fails.
    void askStore(const ChangesCall&);
    void askSource(const ChangesCall&, const StoreFailure&);
    void recordChanges(const ChangesCall&, const RowPage&, MonotonicTime confirmedAt);
    /// Returns the timeout of a call to a source, after which the view would be too old.
    Milliseconds patience(const ChangesCall&) const;
    void refreshCopy(const std::string& table, const std::function<void(bool)>& onDone);

    RowStore& m_store;
    HttpClient& m_client;
    const Clock& m_clock;
    EventLog& m_log;
    std::map<std::string, Feed> m_feeds;
    FeedServer m_server;
    FeedPlan m_plan;
    /// Sources that failed, with the time until which they are not asked.
    std::map<std::string, MonotonicTime> m_failedUntil;
    /// Time of the latest failure of each source. A failure is logged only if there was none shortly before it.
    std::map<std::string, MonotonicTime> m_loggedFailures;
    std::string m_loggedChoice;
    std::map<uint64_t, std::unique_ptr<FeedCall>> m_calls;
    uint64_t m_callCount { 0 };
    uint64_t m_bytesFromStore { 0 };
    uint64_t m_bytesFromSources { 0 };
    QTimer m_listingTimer;
    std::shared_ptr<bool> m_lifetime { std::make_shared<bool>(true) };
};

}
