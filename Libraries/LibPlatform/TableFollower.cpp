#include <LibPlatform/TableFollower.h>

#include <glog/logging.h>

#include <algorithm>
#include <exception>
#include <iterator>
#include <numeric>
#include <utility>

namespace Chicorydock {

namespace {

    constexpr Milliseconds maxRetryDelay { 500 };

    /// After the store dropped its history it may return older state for some seconds.
    constexpr int relistingsAfterHistoryLoss = 4;
    constexpr Milliseconds relistingInterval { 1'500 };

    /// Returns the smallest key after the given one.
    std::string keyAfter(const std::string& key) { return key + '\0'; }

}

TableFollower::TableFollower(RowStore& store, Options options, TableListener& listener)
    : m_store(store)
    , m_options(std::move(options))
    , m_listener(listener)
{
    m_timer.setSingleShot(true);
    m_relistTimer.setSingleShot(true);
    connect(&m_timer, &QTimer::timeout, this, [this] { proceed(); });
    connect(&m_relistTimer, &QTimer::timeout, this, [this] {
        --m_pendingRelistings;
        // The pending feed call ends by itself; its changes are older than the listing or will be reported again.
        m_isListed = false;
        scheduleRelisting();
    });
}

template <typename Call> void TableFollower::notify(Call call)
{
    try {
        call();
    } catch (const std::exception& exception) {
        LOG(ERROR) << "the listener of table " << m_options.table << " failed: " << exception.what();
    }
}

void TableFollower::start() { proceed(); }

void TableFollower::pause() { m_isPaused = true; }

void TableFollower::resume()
{
    m_isPaused = false;
    if (std::exchange(m_isCallDue, false))
        proceed();
}

void TableFollower::skipTo(uint64_t version)
{
    m_version = std::max(m_version, version);
    m_isListed = true;
}

void TableFollower::proceed()
{
    if (m_isPaused)
        m_isCallDue = true;
    else if (m_isListed)
        follow();
    else
        list();
}

void TableFollower::list()
{
    // A store that refuses calls because there are too many must not be asked for the pages before again.
    if (const auto from = std::exchange(m_failedPage, {})) {
        listPartition(from->first, from->second);
        return;
    }
    m_listing.clear();
    m_listedVersion = 0;
    m_listingTime.start();
    listPartition(0, {});
}

void TableFollower::listPartition(size_t n, const std::string& from)
{
    m_store.read(
        { m_options.table, m_options.partitions[n], from, {} }, [this, n, from](const StoreResult<RowPage>& result) {
            if (const auto* page = std::get_if<RowPage>(&result)) {
                handleListing(n, from, *page);
                return;
            }
            m_failedPage = { n, from };
            handleFailure(std::get<StoreFailure>(result));
        });
}

void TableFollower::handleListing(size_t n, const std::string& from, const RowPage& page)
{
    const std::string next = page.rows.empty() ? from : keyAfter(page.rows.back().address.key);
    if (page.hasMore && next == from) {
        handleFailure({ StoreFailure::Kind::NotExecuted, "the listing does not proceed after a page" });
        return;
    }
    setReachable(true);
    // Later changes may be missing from the listing, so the feed starts at the version of the first page.
    if (m_listedVersion == 0)
        m_listedVersion = page.storeVersion;
    m_listing.insert(m_listing.end(), page.rows.begin(), page.rows.end());
    if (page.hasMore) {
        listPartition(n, next);
        return;
    }
    if (n + 1 < m_options.partitions.size()) {
        listPartition(n + 1, {});
        return;
    }
    finishListing();
}

void TableFollower::finishListing()
{
    m_isListed = true;
    m_version = m_listedVersion;
    m_retryDelay = Milliseconds { 0 };
    const qsizetype bytes = std::accumulate(m_listing.begin(), m_listing.end(), qsizetype { 0 },
        [](qsizetype sum, const StoredRow& it) { return sum + it.value.size(); });
    LOG(INFO) << "listed table " << m_options.table << ": " << m_listing.size() << " rows, " << bytes << " bytes, "
              << m_listingTime.elapsed() << " ms";
    notify([this] { m_listener.onTableListed({ std::exchange(m_listing, {}), m_listedVersion }); });
    proceed();
}

void TableFollower::follow()
{
    // Without contact to the store, a call that waits would also take that much longer to fail.
    Milliseconds wait = m_isReachable ? m_options.wait : Milliseconds { 0 };
    // The connection may have gone silent during the delay.
    if (std::exchange(m_isDelayed, false) && m_isReachable)
        wait -= m_options.changeDelay;
    m_store.changes(m_options.table, m_version, wait, [this](const StoreResult<RowPage>& result) {
        if (const auto* page = std::get_if<RowPage>(&result))
            handleChanges(*page);
        else
            handleFailure(std::get<StoreFailure>(result));
    });
}

void TableFollower::handleChanges(const RowPage& page)
{
    setReachable(true);
    m_retryDelay = Milliseconds { 0 };
    applyChanges(page);
    if (!m_isListed || (!page.rows.empty() && m_options.changeDelay.count() > 0)) {
        m_isDelayed = m_isListed;
        m_timer.start(m_isListed ? m_options.changeDelay : Milliseconds { 0 });
        return;
    }
    proceed();
}

void TableFollower::applyChanges(const RowPage& page)
{
    // A refresh and a call that waits may both bring a row. An older one must not replace a newer one.
    std::vector<StoredRow> rows;
    std::ranges::copy_if(
        page.rows, std::back_inserter(rows), [&](const StoredRow& it) { return it.version > m_version; });
    m_version = std::max(m_version, page.storeVersion);
    if (!rows.empty())
        notify([&] { m_listener.onRowsChanged(rows); });
}

void TableFollower::refresh(std::function<void(bool isCurrent)> onDone)
{
    if (!m_isListed) {
        onDone(false);
        return;
    }
    m_refreshes.push_back(std::move(onDone));
    if (!m_isRefreshing)
        startRefresh();
}

void TableFollower::startRefresh()
{
    m_isRefreshing = true;
    m_store.changes(m_options.table, m_version, Milliseconds { 0 },
        [this, waiting = std::exchange(m_refreshes, {})](const StoreResult<RowPage>& result) {
            m_isRefreshing = false;
            const auto* page = std::get_if<RowPage>(&result);
            const bool isCurrent = page && !page->hasMore && m_isListed;
            if (isCurrent)
                applyChanges(*page);
            for (const auto& it : waiting)
                it(isCurrent);
            if (!m_refreshes.empty() && !m_isRefreshing)
                startRefresh();
        });
}

void TableFollower::handleFailure(const StoreFailure& failure)
{
    if (failure.kind == StoreFailure::Kind::HistoryLost) {
        LOG(WARNING) << "the store no longer keeps the changes of table " << m_options.table << " after version "
                     << m_version << "; listing it again";
        m_isListed = false;
        m_pendingRelistings = relistingsAfterHistoryLoss;
        scheduleRelisting();
        m_timer.start(Milliseconds { 0 });
        return;
    }
    if (m_isReachable)
        LOG(WARNING) << "cannot read table " << m_options.table << " from the store: " << failure.message;
    setReachable(false);
    m_retryDelay = std::clamp(m_retryDelay * 2, minRetryDelay, maxRetryDelay);
    m_timer.start(m_retryDelay);
}

void TableFollower::setReachable(bool isReachable)
{
    if (m_isReachable == isReachable)
        return;
    m_isReachable = isReachable;
    notify([&] { m_listener.onReachableChanged(isReachable); });
}

void TableFollower::scheduleRelisting()
{
    if (m_pendingRelistings > 0)
        m_relistTimer.start(relistingInterval);
}

}
