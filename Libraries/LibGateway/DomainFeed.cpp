#include <LibGateway/DomainFeed.h>

#include <LibGateway/FeedTiming.h>

#include <algorithm>
#include <numeric>
#include <utility>

namespace Chicorydock {

namespace {

    /// Time for which a source that failed is not asked. Its loss is known to the peers at about the same time.
    constexpr Milliseconds failurePause { 2'000 };

    /// Time for which a source that has no rows yet is not asked, so that the other one is asked in between.
    constexpr Milliseconds busyPause { 100 };

    /// Time for which a source of an earlier build, which does not serve tables, is not asked.
    constexpr Milliseconds unsupportedPause { 30'000 };

    /// Time for which a source may hold the call until it has listed the table itself, and the timeout of the call.
    constexpr Milliseconds listingWait { 1'500 };
    constexpr Milliseconds listingPatience { 2'000 };

    /// Time for which a node asks sources that are alive for a listing, before its turn at the store can come.
    constexpr Milliseconds maxListingTime { 4'000 };

    /// Longest time for which a node waits for its turn to list a table again: it uses the rows that it knows
    /// meanwhile.
    constexpr Milliseconds maxRelistingDelay { 1'000 };

    /// Time over which nodes spread the repetition of a listing, for each failure, and its limit.
    constexpr Milliseconds repeatWindow { 2'000 };
    constexpr Milliseconds maxRepeatWindow { 4'000 };

    /// Longest time until a source answers that has asked the store without waiting.
    constexpr Milliseconds refreshPatience { 400 };

    /// A failure of a source is logged if the source has not failed for this time before it. Failures that go on are
    /// logged once.
    constexpr Milliseconds failureLogInterval { 10'000 };

    /// Shortest timeout of a call to a source, also if the view is too old already.
    constexpr Milliseconds minPatience { 50 };

    /// Interval at which listings look for a source.
    constexpr Milliseconds listingCheckInterval { 50 };

    uint64_t valueBytes(const std::vector<StoredRow>& rows)
    {
        return std::accumulate(rows.begin(), rows.end(), uint64_t { 0 },
            [](uint64_t sum, const StoredRow& it) { return sum + static_cast<uint64_t>(it.value.size()); });
    }

    Milliseconds pauseAfter(int status)
    {
        if (status == 503)
            return busyPause;
        return status == 404 ? unsupportedPause : failurePause;
    }

}

DomainFeed::DomainFeed(
    RowStore& store, HttpClient& client, const Clock& clock, EventLog& log, const std::vector<Table>& tables)
    : m_store(store)
    , m_client(client)
    , m_clock(clock)
    , m_log(log)
    , m_server(
          clock,
          [this](const std::string& table) -> const TableCopy* {
              const auto it = m_feeds.find(table);
              return it == m_feeds.end() ? nullptr : &it->second.copy;
          },
          [this](const std::string& table, const std::function<void(bool)>& onDone) { refreshCopy(table, onDone); })
{
    for (const Table& it : tables)
        m_feeds[it.name].isListedAtOnce = it.isListedAtOnce;
    m_listingTimer.setSingleShot(true);
    connect(&m_listingTimer, &QTimer::timeout, this, &DomainFeed::proceedWithListings);
}

DomainFeed::~DomainFeed() { *m_lifetime = false; }

void DomainFeed::setPlan(const FeedPlan& plan)
{
    m_plan = plan;
    std::erase_if(m_failedUntil, [&](const auto& it) { return it.second <= m_clock.now(); });
    recordChoice();
    proceedWithListings();
}

void DomainFeed::recordChoice()
{
    if (!m_plan.isSettled)
        return;
    const FeedSource* source = usableSource();
    const std::string choice = source ? source->node : "store";
    const std::string previous = std::exchange(m_loggedChoice, choice);
    if (previous != choice)
        m_log.record("domain_feed", "source_changed", choice, {},
            { { "previous", QString::fromStdString(previous) }, { "is_source", m_plan.isSource } });
}

DomainFeed::Traffic DomainFeed::traffic() const
{
    return { m_bytesFromStore, m_bytesFromSources, m_server.sentBytes() };
}

void DomainFeed::handle(std::shared_ptr<HttpExchange> exchange) { m_server.handle(std::move(exchange)); }

const FeedSource* DomainFeed::usableSource() const
{
    const auto it = std::ranges::find_if(m_plan.sources, [&](const FeedSource& source) {
        const auto failed = m_failedUntil.find(source.node);
        return failed == m_failedUntil.end() || failed->second <= m_clock.now();
    });
    return it == m_plan.sources.end() ? nullptr : &*it;
}

void DomainFeed::markFailed(const FeedSource& source, const std::string& table, int status)
{
    const MonotonicTime now = m_clock.now();
    m_failedUntil[source.node] = now + pauseAfter(status);
    if (status == 503)
        return;
    const auto [logged, isFirst] = m_loggedFailures.try_emplace(source.node, now);
    if (isFirst || now - std::exchange(logged->second, now) >= failureLogInterval)
        m_log.record("domain_feed", "source_failed", source.node, {},
            { { "table", QString::fromStdString(table) }, { "status", status } });
}

void DomainFeed::callSource(
    const FeedSource& source, const FeedRequest& request, Milliseconds patience, const ResultHandler& onEnd)
{
    const uint64_t number = ++m_callCount;
    m_calls[number] = std::make_unique<FeedCall>(
        m_client, source, request, patience, [this, number, onEnd](const FeedCall::Result& result) {
            // The call is still executing, because it calls this function.
            QTimer::singleShot(0, [call = std::shared_ptr<FeedCall>(std::move(m_calls.at(number)))] {});
            m_calls.erase(number);
            m_bytesFromSources += static_cast<uint64_t>(result.bytes);
            onEnd(result);
        });
}

void DomainFeed::read(const RowRange& range, Reply<RowPage> reply)
{
    const auto feed = m_feeds.find(range.table);
    const bool isListing = feed != m_feeds.end() && range.partition.empty() && range.until.empty();
    if (!isListing) {
        m_store.read(range, std::move(reply));
        return;
    }
    if (!range.from.empty()) {
        listFromStore(range, reply);
        return;
    }
    feed->second.listing = Listing { range, std::move(reply), m_clock.now() };
    if (!feed->second.listingSince)
        feed->second.listingSince = m_clock.now();
    proceedWithListing(range.table);
}

void DomainFeed::proceedWithListings()
{
    for (const auto& [table, feed] : m_feeds)
        proceedWithListing(table);
}

void DomainFeed::proceedWithListing(const std::string& table)
{
    Feed& feed = m_feeds.at(table);
    if (!feed.listing || feed.listing->isCalling)
        return;
    const FeedSource* source = m_plan.isSettled ? usableSource() : nullptr;
    const bool isFirst = feed.isListedAtOnce && !feed.copy.isListed();
    const bool mayListInStore = isFirst ? hasTurnToRepeat(feed) : hasTurn(feed);
    if (source && !mayListInStore) {
        listFromSource(table, *source);
        return;
    }
    if (mayListInStore) {
        const Listing listing = std::move(*std::exchange(feed.listing, {}));
        listFromStore(listing.range, listing.reply);
        return;
    }
    if (!m_listingTimer.isActive())
        m_listingTimer.start(listingCheckInterval);
}

bool DomainFeed::hasTurn(const Feed& feed) const
{
    if (!m_plan.isSettled)
        return false;
    // Sources that are alive may still be listing the table themselves.
    const Milliseconds patience = m_plan.sources.empty() ? Milliseconds { 0 } : maxListingTime;
    const Milliseconds turn = feed.copy.isListed() ? std::min(m_plan.storeDelay, maxRelistingDelay) : m_plan.storeDelay;
    // Without a large deployment there is no link to spare: the store is asked as soon as all sources have failed.
    const bool isAlone = !usableSource() && m_plan.storeDelay.count() == 0;
    const Milliseconds delay = isAlone ? Milliseconds { 0 } : patience + turn;
    return m_plan.isSource || m_clock.now() >= *feed.listingSince + delay;
}

bool DomainFeed::hasTurnToRepeat(const Feed& feed) const
{
    if (feed.failures == 0)
        return true;
    // What the store sends after the node has given up still takes its time on the link. If all nodes repeated their
    // calls at once, none would get its answer in time.
    const Milliseconds window = std::min(repeatWindow * feed.failures, maxRepeatWindow);
    return m_clock.now() >= feed.listing->since + m_plan.turn % window;
}

void DomainFeed::listFromSource(const std::string& table, const FeedSource& source)
{
    Feed& feed = m_feeds.at(table);
    feed.listing->isCalling = true;
    const FeedRequest request { table, {}, feed.copy.version(), listingWait };
    callSource(source, request, listingPatience, [this, table, source](const FeedCall::Result& result) {
        Feed& called = m_feeds.at(table);
        if (!result.page) {
            called.listing->isCalling = false;
            markFailed(source, table, result.status);
            proceedWithListing(table);
            return;
        }
        const Listing listing = std::move(*std::exchange(called.listing, {}));
        m_log.record("domain_feed", "listed", table, {},
            { { "source", QString::fromStdString(source.node) },
                { "rows", static_cast<qint64>(result.page->rows.size()) },
                { "bytes", static_cast<qint64>(result.bytes) } });
        putListing(table, result.page->rows, result.page->storeVersion, m_clock.now() - result.viewAge);
        listing.reply(*result.page);
    });
}

void DomainFeed::listFromStore(const RowRange& range, const Reply<RowPage>& reply)
{
    m_store.read(range, [this, range, reply, lifetime = m_lifetime](const StoreResult<RowPage>& result) {
        if (!*lifetime)
            return;
        if (const auto* page = std::get_if<RowPage>(&result))
            recordListedPage(range, *page);
        else
            ++m_feeds.at(range.table).failures;
        reply(result);
    });
}

void DomainFeed::recordListedPage(const RowRange& range, const RowPage& page)
{
    Feed& feed = m_feeds.at(range.table);
    m_bytesFromStore += valueBytes(page.rows);
    if (range.from.empty()) {
        feed.listedRows.clear();
        feed.listedVersion = page.storeVersion;
        feed.listedAt = m_clock.now();
    }
    feed.listedRows.insert(feed.listedRows.end(), page.rows.begin(), page.rows.end());
    if (!page.hasMore)
        putListing(range.table, std::exchange(feed.listedRows, {}), feed.listedVersion, feed.listedAt);
}

void DomainFeed::putListing(
    const std::string& table, const std::vector<StoredRow>& rows, uint64_t version, MonotonicTime confirmedAt)
{
    Feed& feed = m_feeds.at(table);
    feed.listingSince.reset();
    feed.failures = 0;
    const bool isOld = version < feed.copy.version();
    feed.copy.putListing(rows, version);
    if (!isOld)
        feed.copy.confirm(confirmedAt);
    m_server.update(table);
}

void DomainFeed::changes(const std::string& table, uint64_t after, Milliseconds wait, Reply<RowPage> reply)
{
    if (!m_feeds.contains(table)) {
        m_store.changes(table, after, wait, std::move(reply));
        return;
    }
    const ChangesCall call { table, after, wait, std::move(reply) };
    const FeedSource* source = usableSource();
    if (wait.count() == 0)
        askStore(call);
    else if (source)
        followSource(*source, call);
    else
        followStore(call);
}

void DomainFeed::followSource(const FeedSource& source, const ChangesCall& call)
{
    const FeedRequest request { call.table, call.after, 0, call.wait };
    callSource(source, request, patience(call), [this, source, call](const FeedCall::Result& result) {
        if (!result.page) {
            // Changes that the source no longer knows may still be known to the store.
            if (result.status != 410)
                markFailed(source, call.table, result.status);
            askStore(call);
            return;
        }
        recordChanges(call, *result.page, m_clock.now() - result.viewAge);
        call.reply(*result.page);
    });
}

Milliseconds DomainFeed::patience(const ChangesCall& call) const
{
    const auto confirmedAt = m_feeds.at(call.table).copy.confirmedAt();
    const MonotonicTime now = m_clock.now();
    const auto until = confirmedAt.value_or(now) + call.wait + FeedTiming::maxSourceDelay;
    return std::max(minPatience, std::chrono::floor<Milliseconds>(until - now));
}

void DomainFeed::followStore(const ChangesCall& call)
{
    m_store.changes(
        call.table, call.after, call.wait, [this, call, lifetime = m_lifetime](const StoreResult<RowPage>& result) {
            if (!*lifetime)
                return;
            if (const auto* page = std::get_if<RowPage>(&result)) {
                m_bytesFromStore += valueBytes(page->rows);
                recordChanges(call, *page, m_clock.now());
            }
            call.reply(result);
        });
}

void DomainFeed::askStore(const ChangesCall& call)
{
    const ChangesCall question { call.table, call.after, Milliseconds { 0 },
        [this, call](const StoreResult<RowPage>& result) {
            const auto* failure = std::get_if<StoreFailure>(&result);
            if (failure && failure->kind != StoreFailure::Kind::HistoryLost)
                askSource(call, *failure);
            else
                call.reply(result);
        } };
    followStore(question);
}

void DomainFeed::askSource(const ChangesCall& call, const StoreFailure& failure)
{
    const FeedSource* source = usableSource();
    if (!source) {
        call.reply(failure);
        return;
    }
    const FeedRequest request { call.table, call.after, 0, Milliseconds { 0 } };
    callSource(*source, request, refreshPatience, [this, call, failure](const FeedCall::Result& result) {
        if (!result.page) {
            call.reply(failure);
            return;
        }
        recordChanges(call, *result.page, m_clock.now() - result.viewAge);
        call.reply(*result.page);
    });
}

void DomainFeed::recordChanges(const ChangesCall& call, const RowPage& page, MonotonicTime confirmedAt)
{
    Feed& feed = m_feeds.at(call.table);
    feed.copy.putChanges(call.after, page);
    if (page.hasMore || feed.copy.version() < page.storeVersion)
        return;
    feed.copy.confirm(confirmedAt);
    m_server.update(call.table);
}

void DomainFeed::refreshCopy(const std::string& table, const std::function<void(bool)>& onDone)
{
    const TableCopy& copy = m_feeds.at(table).copy;
    // While the store does not respond, the calls of many nodes are not passed on to it.
    const bool isInTouch = copy.confirmedAt() && m_clock.now() - *copy.confirmedAt() <= FeedTiming::storeTimeout * 4;
    if (!copy.isListed() || !isInTouch) {
        QTimer::singleShot(0, this, [onDone] { onDone(false); });
        return;
    }
    followStore({ table, copy.version(), Milliseconds { 0 },
        [onDone](const StoreResult<RowPage>& result) { onDone(std::holds_alternative<RowPage>(result)); } });
}

}
