#pragma once

#include <Tests/Support/MemoryRowStore.h>

#include <deque>
#include <functional>
#include <utility>

namespace Chicorydock {

/// A node's connection to a store that carries out each call at once, and whose replies wait until the test delivers
/// them, in any order.
///
/// Thread safety: none.
class HeldReplyStore final : public RowStore {
public:
    using RowsSeen = std::function<void(const std::vector<StoredRow>&)>;

    /// The table outlives the connection. `onRowsSeen` is called with the rows of each reply before its receiver is.
    HeldReplyStore(MemoryRowStore& table, RowsSeen onRowsSeen)
        : m_table(table)
        , m_onRowsSeen(std::move(onRowsSeen))
    {
    }

    size_t heldReplies() const { return m_held.size(); }
    size_t commits() const { return m_commits; }

    /// Delivers one of the replies. Precondition: `n` is less than `heldReplies()`.
    void deliver(size_t n)
    {
        const auto it = m_held.begin() + static_cast<ptrdiff_t>(n);
        const auto reply = std::move(*it);
        m_held.erase(it);
        reply();
    }

    /// Delivers all replies in the order of their calls, and those to the calls that they lead to.
    void deliverAll()
    {
        while (!m_held.empty())
            deliver(0);
    }

    void read(const RowRange& range, Reply<RowPage> reply) override
    {
        hold([this, page = RowPage { m_table.rowsIn(range), false, 0 }, reply] {
            m_onRowsSeen(page.rows);
            reply(page);
        });
    }

    void commit(const RowTransaction& transaction, Reply<RowCommit> reply) override
    {
        ++m_commits;
        const RowCommit result = m_table.apply(transaction);
        std::vector<StoredRow> rows = result.current;
        if (result.isCommitted) {
            for (const RowWrite& it : transaction.writes)
                rows.push_back({ it.row, it.value, result.version, false });
        }
        hold([this, result, rows, reply] {
            m_onRowsSeen(rows);
            reply(result);
        });
    }

    std::optional<Milliseconds> time() const override { return m_table.time(); }

    // The test delivers changes to the nodes itself, and the items of its jobs fit rows.
    void changes(const std::string&, uint64_t, Milliseconds, Reply<RowPage>) override { }
    void putObject(const std::string&, const QByteArray&, Reply<bool>) override { }
    void getObject(const std::string&, Reply<QByteArray>) override { }

private:
    void hold(std::function<void()> reply) { m_held.push_back(std::move(reply)); }

    MemoryRowStore& m_table;
    const RowsSeen m_onRowsSeen;
    std::deque<std::function<void()>> m_held;
    size_t m_commits { 0 };
};

}
