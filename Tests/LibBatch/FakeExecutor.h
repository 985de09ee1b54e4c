#pragma once

#include <LibBatch/ItemExecutor.h>

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Chicorydock {

/// Number of times each item was passed to an executor, across all nodes of a test.
using RunCounts = std::map<std::pair<std::string, uint32_t>, uint32_t>;

/// An executor whose items end under the control of the test. Not thread-safe.
class FakeExecutor final : public ItemExecutor {
public:
    using Decision = std::function<ItemOutcome(const BatchItem&)>;

    explicit FakeExecutor(RunCounts& counts)
        : m_counts(counts)
    {
    }

    Handle execute(const BatchItem& item, Callback callback) override
    {
        ++m_counts[{ item.jobId, item.index }];
        m_running.emplace(++m_lastHandle, std::make_pair(item, std::move(callback)));
        return m_lastHandle;
    }

    void cancel(Handle handle) override
    {
        const auto it = m_running.find(handle);
        if (it == m_running.end())
            return;
        const Callback callback = std::move(it->second.second);
        m_running.erase(it);
        callback({ ItemOutcome::Kind::NotRun, {} });
    }

    uint32_t freeCapacity(const std::string&) const override
    {
        return m_capacity - std::min(m_capacity, static_cast<uint32_t>(m_running.size()));
    }

    void setCapacity(uint32_t capacity) { m_capacity = capacity; }

    /// Ends up to `limit` running items, oldest first, with the outcomes that `decide` returns.
    void finish(const Decision& decide = &FakeExecutor::succeed, size_t limit = SIZE_MAX)
    {
        for (; limit > 0 && !m_running.empty(); --limit) {
            const auto [item, callback] = std::move(m_running.begin()->second);
            m_running.erase(m_running.begin());
            callback(decide(item));
        }
    }

    size_t running() const { return m_running.size(); }
    bool isRunning(const std::string& customId) const
    {
        for (const auto& [handle, entry] : m_running) {
            if (entry.first.customId == customId)
                return true;
        }
        return false;
    }

    static ItemOutcome succeed(const BatchItem& item)
    {
        return { ItemOutcome::Kind::Completed, { 200, { { "echo", QString::fromStdString(item.customId) } } } };
    }

private:
    RunCounts& m_counts;
    std::map<Handle, std::pair<BatchItem, Callback>> m_running;
    Handle m_lastHandle { 0 };
    uint32_t m_capacity { 1'000 };
};

}
