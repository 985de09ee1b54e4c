#pragma once

#include <LibCore/Clock.h>
#include <LibPlatform/RowStore.h>

#include <QMetaObject>
#include <QObject>

#include <algorithm>
#include <deque>
#include <map>
#include <set>

namespace Chicorydock {

/// A row store in memory with injected faults. Calls are queued and completed by `deliver()`, in the order of arrival.
/// Not thread safe.
class MemoryRowStore final : public RowStore {
public:
    /// Fault of the transactions that are committed next.
    enum class Fault : uint8_t {
        None,
        /// Nothing is done, and the store reports this.
        Refused,
        /// The transaction is applied, but its response is lost.
        ResponseLost,
        /// The response is lost, and the transaction is not attempted until the test calls `applyLate()`.
        Late,
    };

    explicit MemoryRowStore(const Clock& clock)
        : m_clock(clock)
    {
    }

    Fault commitFault { Fault::None };
    bool isDown { false };
    uint64_t commits { 0 };
    /// Time for which the latest call waits for changes.
    Milliseconds feedWait { 0 };

    void read(const RowRange& range, Reply<RowPage> reply) override
    {
        post([this, range, reply] {
            if (isDown)
                return reply(downFailure());
            reply(RowPage { rowsIn(range), false, m_version });
        });
    }

    void commit(const RowTransaction& transaction, Reply<RowCommit> reply) override
    {
        const Fault fault = commitFault;
        post([this, transaction, reply, fault] {
            if (isDown || fault == Fault::Refused)
                return reply(downFailure());
            if (transaction.entries() > RowTransaction::maxEntries)
                return reply(StoreFailure { StoreFailure::Kind::NotExecuted, "too many entries" });
            if (fault == Fault::Late) {
                m_late.push_back(transaction);
                return reply(outcomeUnknown());
            }
            const RowCommit result = apply(transaction);
            if (fault == Fault::ResponseLost)
                return reply(outcomeUnknown());
            reply(result);
        });
    }

    std::optional<Milliseconds> time() const override
    {
        return std::chrono::duration_cast<Milliseconds>(m_clock.now().time_since_epoch());
    }

    void changes(const std::string& table, uint64_t after, Milliseconds wait, Reply<RowPage> reply) override
    {
        feedWait = wait;
        post([this, table, after, reply] {
            if (isDown)
                return reply(downFailure());
            if (after < m_oldestVersion)
                return reply(StoreFailure { StoreFailure::Kind::HistoryLost, "history is lost" });
            std::vector<StoredRow> rows;
            for (const StoredRow& it : m_history) {
                if (it.address.table == table && it.version > after)
                    rows.push_back(it);
            }
            reply(RowPage { std::move(rows), false, m_version });
        });
    }

    void putObject(const std::string& name, const QByteArray& content, Reply<bool> reply) override
    {
        post([this, name, content, reply] {
            if (isDown)
                return reply(downFailure());
            m_objects.try_emplace(name, content);
            reply(true);
        });
    }

    void getObject(const std::string& name, Reply<QByteArray> reply) override
    {
        post([this, name, reply] {
            if (isDown)
                return reply(downFailure());
            const auto it = m_objects.find(name);
            if (it == m_objects.end())
                return reply(StoreFailure { StoreFailure::Kind::NotFound, "no such object" });
            reply(it->second);
        });
    }

    /// Completes the queued calls and those that their replies lead to.
    void deliver()
    {
        while (!m_calls.empty())
            deliverOne();
    }

    bool deliverOne()
    {
        if (m_calls.empty())
            return false;
        const auto call = std::move(m_calls.front());
        m_calls.pop_front();
        call();
        return true;
    }

    size_t waitingCalls() const { return m_calls.size(); }

    /// Attempts the transactions with `Fault::Late`. Those whose conditions no longer hold have no effect.
    void applyLate()
    {
        for (const RowTransaction& it : std::exchange(m_late, {}))
            apply(it);
    }

    /// Discards the history of changes made so far.
    void dropHistory()
    {
        m_history.clear();
        m_oldestVersion = m_version;
    }

    /// Writes or removes a row as another writer would, without conditions.
    void put(const RowAddress& address, const QByteArray& value) { apply({ {}, { { address, value } }, {} }); }
    void remove(const RowAddress& address) { apply({ {}, {}, { address } }); }

    std::optional<StoredRow> find(const RowAddress& address) const
    {
        const auto it = m_rows.find(address);
        return it == m_rows.end() ? std::nullopt : std::optional(it->second);
    }

    std::vector<StoredRow> rowsIn(const RowRange& range) const
    {
        std::vector<StoredRow> rows;
        for (auto it = m_rows.lower_bound({ range.table, range.partition, range.from }); it != m_rows.end(); ++it) {
            const RowAddress& address = it->first;
            if (address.table != range.table || address.partition != range.partition)
                break;
            if (!range.until.empty() && address.key >= range.until)
                break;
            rows.push_back(it->second);
        }
        return rows;
    }

    RowCommit apply(const RowTransaction& transaction)
    {
        std::vector<StoredRow> current;
        bool conditionsHold = true;
        for (const RowCondition& it : transaction.conditions) {
            const auto row = find(it.row);
            conditionsHold = conditionsHold && (row ? row->version : 0) == it.version;
            if (row)
                current.push_back(*row);
        }
        if (!conditionsHold)
            return { false, m_version, current };
        ++m_version;
        ++commits;
        for (const RowWrite& it : transaction.writes) {
            m_rows[it.row] = { it.row, it.value, m_version, false };
            m_history.push_back(m_rows[it.row]);
        }
        for (const RowAddress& it : transaction.removals) {
            m_rows.erase(it);
            m_history.push_back({ it, {}, m_version, true });
        }
        return { true, m_version, {} };
    }

private:
    static StoreFailure downFailure() { return { StoreFailure::Kind::NotExecuted, "the store is down" }; }
    static StoreFailure outcomeUnknown() { return { StoreFailure::Kind::OutcomeUnknown, "no answer" }; }

    void post(std::function<void()> call) { m_calls.push_back(std::move(call)); }

    const Clock& m_clock;
    std::map<RowAddress, StoredRow> m_rows;
    std::map<std::string, QByteArray> m_objects;
    std::vector<StoredRow> m_history;
    std::deque<std::function<void()>> m_calls;
    std::vector<RowTransaction> m_late;
    uint64_t m_version { 0 };
    uint64_t m_oldestVersion { 0 };
};

}
