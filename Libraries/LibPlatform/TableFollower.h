#pragma once

#include <LibCore/Clock.h>
#include <LibPlatform/RowStore.h>
#include <LibPlatform/ViewRefresher.h>

#include <QElapsedTimer>
#include <QObject>
#include <QTimer>

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Chicorydock {

/// All rows of a table at one time.
struct TableListing {
    std::vector<StoredRow> rows;
    /// Version of the newest change that the listing contains. Rows that changed later may be included too.
    uint64_t storeVersion { 0 };

    bool operator==(const TableListing&) const = default;
};

/// Receives the rows of one table and their changes. An exception of a method is logged, and the next rows are reported
/// as usual.
class TableListener {
public:
    virtual ~TableListener() = default;

    /// Receives all rows of the table. They may be older than changes reported before, if the store lagged.
    virtual void onTableListed(const TableListing&) = 0;
    /// Receives rows that changed, in order.
    virtual void onRowsChanged(const std::vector<StoredRow>&) = 0;
    /// Receives whether the store responded to the last call; called when that changes.
    virtual void onReachableChanged(bool) = 0;
};

/// Reports the rows of a table to a listener: first a listing, then the changes from the change feed of the store.
///
/// Thread safety: used on the thread that created it.
class TableFollower final : public QObject, public ViewRefresher {
public:
    struct Options {
        std::string table;
        std::vector<std::string> partitions { "" };
        /// Longest time for which changes may stay unknown before a call for them ends, apart from the timeout of the
        /// store's calls: the delay before a call and its wait together.
        Milliseconds wait { 1'500 };
        /// Delay between a change and the next call, so that a burst of changes needs few calls. Shorter than `wait`.
        Milliseconds changeDelay { 0 };
    };

    /// Delay between a failed call and the next one.
    static constexpr Milliseconds minRetryDelay { 100 };

    /// The store and the listener outlive the follower.
    TableFollower(RowStore&, Options, TableListener&);

    /// Starts with the listing. Called once.
    void start();

    /// Makes no further calls until `resume()`. A call in progress ends as usual.
    void pause();

    /// Continues after `pause()`.
    void resume();

    bool isPaused() const { return m_isPaused; }

    /// Makes the follower continue after this version, because the caller has got all earlier rows from elsewhere.
    /// Replaces the listing if there has been none yet.
    void skipTo(uint64_t version);

    /// Asks the store at once. Calls that come meanwhile share the next question.
    void refresh(std::function<void(bool isCurrent)> onDone) override;

    bool isListed() const { return m_isListed; }

    /// Whether the store responded to the last call.
    bool isReachable() const { return m_isReachable; }

private:
    /// Makes the next call, unless paused.
    void proceed();
    void list();
    void listPartition(size_t n, const std::string& from);
    void handleListing(size_t n, const std::string& from, const RowPage&);
    void finishListing();
    void follow();
    void handleChanges(const RowPage&);
    /// Reports the rows that are not known yet.
    void applyChanges(const RowPage&);
    void startRefresh();
    void handleFailure(const StoreFailure&);
    void setReachable(bool);
    /// Calls the listener. An exception must not end the process, nor the following of the table.
    template <typename Call> void notify(Call);
    void scheduleRelisting();

    RowStore& m_store;
    const Options m_options;
    TableListener& m_listener;
    std::vector<StoredRow> m_listing;
    /// Version up to which all changes are known.
    uint64_t m_version { 0 };
    uint64_t m_listedVersion { 0 };
    /// Partition and first key at which a listing goes on after a failed call.
    std::optional<std::pair<size_t, std::string>> m_failedPage;
    /// Runs since the listing began.
    QElapsedTimer m_listingTime;
    bool m_isListed { false };
    bool m_isPaused { false };
    /// Whether a call was due while paused.
    bool m_isCallDue { false };
    bool m_isReachable { false };
    /// Whether the next call comes after the delay for changes.
    bool m_isDelayed { false };
    Milliseconds m_retryDelay { 0 };
    /// Waiting for a refresh that has not begun.
    std::vector<std::function<void(bool)>> m_refreshes;
    bool m_isRefreshing { false };
    QTimer m_timer;
    /// Number of listings still to be repeated after the history was lost.
    int m_pendingRelistings { 0 };
    QTimer m_relistTimer;
};

}
