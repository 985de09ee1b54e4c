#include <LibGateway/FeedTiming.h>

#include <Tests/Support/SimulatedEventLoop.h>
#include <catch2/catch.hpp>

#include <optional>

using namespace Chicorydock;

namespace {

constexpr Milliseconds step { 10 };

/// A store with one table, whose open connection goes silent at some time: the call on it gets no response, and new
/// calls are served.
class SilentStore final : public RowStore {
public:
    explicit SilentStore(SimulatedEventLoop& loop)
        : m_loop(loop)
    {
    }

    /// Lets time pass for the store and the timers of the node.
    void advance()
    {
        m_now += step;
        m_loop.advance(step);
        if (!m_call)
            return;
        const Milliseconds waited = m_now - m_call->since;
        if (m_call->isSilent && waited >= m_call->wait + FeedTiming::storeTimeout)
            end(StoreFailure { StoreFailure::Kind::OutcomeUnknown, "no response" });
        else if (!m_call->isSilent && (m_version > m_call->after || waited >= m_call->wait))
            end(page(m_call->after));
    }

    void silenceOpenConnection()
    {
        // The next call uses the connection again unless it is found to be silent.
        if (m_call)
            m_call->isSilent = true;
        m_isIdleConnectionSilent = !m_call;
    }

    void change() { ++m_version; }
    uint64_t version() const { return m_version; }
    Milliseconds now() const { return m_now; }
    size_t calls { 0 };

    void read(const RowRange&, Reply<RowPage> reply) override { reply(page(m_version)); }
    void changes(const std::string&, uint64_t after, Milliseconds wait, Reply<RowPage> reply) override
    {
        ++calls;
        m_call = { m_now, wait, after, std::exchange(m_isIdleConnectionSilent, false), std::move(reply) };
    }

    void commit(const RowTransaction&, Reply<RowCommit>) override { }
    std::optional<Milliseconds> time() const override { return m_now; }
    void putObject(const std::string&, const QByteArray&, Reply<bool>) override { }
    void getObject(const std::string&, Reply<QByteArray>) override { }

private:
    struct Call {
        Milliseconds since;
        Milliseconds wait;
        uint64_t after { 0 };
        bool isSilent { false };
        Reply<RowPage> reply;
    };

    RowPage page(uint64_t after) const
    {
        RowPage page { {}, false, m_version };
        if (m_version > after)
            page.rows.push_back({ { "t", "", "row" }, "", m_version, false });
        return page;
    }

    void end(const StoreResult<RowPage>& result)
    {
        const Call call = *std::exchange(m_call, {});
        call.reply(result);
    }

    SimulatedEventLoop& m_loop;
    Milliseconds m_now { 0 };
    uint64_t m_version { 1 };
    bool m_isIdleConnectionSilent { false };
    std::optional<Call> m_call;
};

struct VersionListener final : TableListener {
    uint64_t version { 0 };

    void onTableListed(const TableListing& listing) override { onRowsChanged(listing.rows); }
    void onRowsChanged(const std::vector<StoredRow>& rows) override
    {
        for (const StoredRow& it : rows)
            version = it.version;
    }
    void onReachableChanged(bool) override { }
};

/// Returns how long after the later of the silence and the change a node knows of the change.
Milliseconds ageOfView(Milliseconds changedBefore, Milliseconds silentAfter, Milliseconds changedAfter)
{
    Milliseconds age { 0 };
    runOnSimulatedTime([&](SimulatedEventLoop& loop) {
        SilentStore store(loop);
        VersionListener listener;
        TableFollower follower(store, FeedTiming::jobFeed(), listener);
        follower.start();
        const auto advanceTo = [&](Milliseconds time) {
            while (store.now() < time)
                store.advance();
        };
        advanceTo(changedBefore);
        store.change();
        advanceTo(changedBefore + silentAfter);
        store.silenceOpenConnection();
        advanceTo(changedBefore + silentAfter + changedAfter);
        store.change();
        const Milliseconds since = store.now();
        while (listener.version < store.version())
            store.advance();
        age = store.now() - since;
    });
    return age;
}

}

// Load: a job ends at another node while the connection of a feed goes silent at any moment, also during the delay
// after an earlier change. Guards against items of the ended job that run, because the silence is noticed too late
// (UNASKED).
TEST_CASE("an ended job is known within the time allowed although a connection to the store goes silent")
{
    constexpr Milliseconds longestUntilItemsMustNotRun { 3'000 };
    for (Milliseconds silentAfter { 10 }; silentAfter < std::chrono::seconds { 5 };
         silentAfter += Milliseconds { 130 }) {
        for (const Milliseconds changedAfter : { Milliseconds { 0 }, Milliseconds { 10 }, Milliseconds { 600 } }) {
            CAPTURE(silentAfter.count(), changedAfter.count());
            const Milliseconds age = ageOfView(Milliseconds { 500 }, silentAfter, changedAfter);
            CHECK(age < longestUntilItemsMustNotRun);
            CHECK(age <= FeedTiming::maxJobViewAge);
        }
    }
}

// Guards against calls to the store that the shorter wait costs while nothing changes.
TEST_CASE("a feed without changes calls the store no more often than its wait says")
{
    runOnSimulatedTime([](SimulatedEventLoop& loop) {
        SilentStore store(loop);
        VersionListener listener;
        TableFollower follower(store, FeedTiming::jobFeed(), listener);
        follower.start();
        while (store.now() < std::chrono::seconds { 60 })
            store.advance();
        CHECK(store.calls <= std::chrono::seconds { 60 } / FeedTiming::waitFor(FeedTiming::maxJobViewAge) + 1);
    });
}
