#pragma once

#include <LibBatch/ItemExecutor.h>
#include <LibBatch/JobStore.h>
#include <LibBatch/SegmentFile.h>

#include <memory>
#include <optional>
#include <vector>

namespace Chicorydock {

/// One item of a chunk that this node holds.
struct HeldItem {
    enum class State : uint8_t {
        Waiting,
        Running,
        Ended,
    };

    BatchItem item;
    State state { State::Waiting };
    /// Whether the intent record is known to be durable.
    bool hasIntent { false };
    /// Whether the outcome of the write of the intent record is unknown.
    bool isIntentUncertain { false };
    uint32_t attempts { 0 };
    MonotonicTime notBefore;
    ItemExecutor::Handle handle { 0 };
    ItemResult result;
};

/// The write that ends the claim of a chunk. It stays the same over all attempts, so that a repetition is harmless.
struct ChunkCommit {
    ChunkRecord record;
    std::string objectName;
    std::string objectContent;
    bool isObjectStored { false };
    std::vector<uint32_t> intentsToRemove;
};

/// A chunk that this node has claimed, with its items and results in memory.
///
/// Thread safety: none; used on the batch thread.
class HeldChunk {
public:
    HeldChunk(uint64_t serial, std::shared_ptr<const StoredJob> job, StoredChunk stored, bool isSuspect,
        MonotonicTime claimed, MonotonicTime leaseEnd)
        : m_serial(serial)
        , m_job(std::move(job))
        , m_stored(std::move(stored))
        , m_isSuspect(isSuspect)
        , m_claimed(claimed)
        , m_leaseEnd(leaseEnd)
        , m_idleSince(claimed)
    {
    }

    /// Identifies the claim within the controller.
    uint64_t serial() const { return m_serial; }
    const StoredJob& job() const { return *m_job; }
    const StoredChunk& stored() const { return m_stored; }
    void setStored(StoredChunk stored) { m_stored = std::move(stored); }
    /// Whether the chunk was suspect before this claim.
    bool isSuspect() const { return m_isSuspect; }
    MonotonicTime claimed() const { return m_claimed; }

    /// When the lease ends by this node's monotonic clock, counted from before the write that took or renewed it.
    MonotonicTime leaseEnd() const { return m_leaseEnd; }
    void setLeaseEnd(MonotonicTime end) { m_leaseEnd = end; }

    /// Takes the items that have no result yet out of the lines of the whole chunk.
    void load(std::string_view inputLines);
    bool isLoaded() const { return m_isLoaded; }

    /// Since when the chunk is loaded and none of its items runs.
    MonotonicTime idleSince() const { return m_idleSince; }
    void setIdleSince(MonotonicTime time) { m_idleSince = time; }

    std::vector<HeldItem>& items() { return m_items; }
    const std::vector<HeldItem>& items() const { return m_items; }
    HeldItem* find(uint32_t index);
    bool hasRunning() const;
    bool isEnded() const;

    /// Fixes the write that ends the claim: with a result for every item it makes the chunk done, otherwise it hands
    /// the chunk back with the results so far. Precondition: no item is running and the write is not fixed yet.
    void prepareCommit(const std::string& writer);
    std::optional<ChunkCommit>& commit() { return m_commit; }
    const std::optional<ChunkCommit>& commit() const { return m_commit; }

private:
    uint64_t m_serial;
    std::shared_ptr<const StoredJob> m_job;
    StoredChunk m_stored;
    bool m_isSuspect;
    MonotonicTime m_claimed;
    MonotonicTime m_leaseEnd;
    bool m_isLoaded { false };
    MonotonicTime m_idleSince;
    std::vector<HeldItem> m_items;
    std::optional<ChunkCommit> m_commit;
};

}
