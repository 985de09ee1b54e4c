#pragma once

#include <LibCore/Clock.h>
#include <LibPlatform/RowStore.h>

#include <QObject>
#include <QTimer>

#include <string>
#include <vector>

namespace Chicorydock {

/// Hears of the rows of one table.
class TableListener {
public:
    virtual ~TableListener() = default;

    /// All rows of the table. It may be older than changes that were reported before, if the store was behind.
    virtual void onTableListed(const std::vector<StoredRow>&) = 0;
    /// Rows that changed, in order.
    virtual void onRowsChanged(const std::vector<StoredRow>&) = 0;
    /// Whether the last call to the store was answered; called when that changes.
    virtual void onReachableChanged(bool) = 0;
};

/// Keeps a listener informed of the rows of a table: a listing first, then changes from the feed of the store.
///
/// Thread safety: used on the thread that created it.
class TableFollower final : public QObject {
public:
    struct Options {
        std::string table;
        std::vector<std::string> partitions { "" };
        /// How long one call waits for changes. A feed that has gone silent is noticed after that time and the timeout
        /// of the store's calls.
        Milliseconds wait { 1'500 };
        /// Pause between a change and the next call, so that many changes cost few calls.
        Milliseconds pace { 0 };
    };

    /// The store and the listener outlive the follower.
    TableFollower(RowStore&, Options, TableListener&);

    /// Starts with the listing. Called once.
    void start();

    bool isListed() const { return m_isListed; }

    /// Whether the last call was answered.
    bool isReachable() const { return m_isReachable; }

private:
    void list();
    void listPartition(size_t n, const std::string& from);
    void handleListing(size_t n, const RowPage&);
    void finishListing();
    void follow();
    void handleChanges(const RowPage&);
    void handleFailure(const StoreFailure&);
    void setReachable(bool);
    void scheduleRelisting();

    RowStore& m_store;
    const Options m_options;
    TableListener& m_listener;
    std::vector<StoredRow> m_listing;
    /// Version up to which all changes are known.
    uint64_t m_version { 0 };
    uint64_t m_listedVersion { 0 };
    bool m_isListed { false };
    bool m_isReachable { false };
    Milliseconds m_retryDelay { 0 };
    QTimer m_timer;
    /// Listings that are still to be repeated after the history was lost.
    int m_extraListings { 0 };
    QTimer m_relistTimer;
};

}
