#pragma once

#include <LibBatch/ItemExecutor.h>
#include <LibBatch/JobStore.h>
#include <LibBatch/SegmentFile.h>

#include <memory>
#include <optional>
#include <vector>

namespace Chicorydock {

/// An item of a chunk that this node holds.
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
    /// Whether the write of the intent record had an unknown outcome.
    bool isIntentUncertain { false };
    uint32_t attempts { 0 };
    /// Earliest time at which a waiting item may start.
    MonotonicTime notBefore;
    ItemExecutor::Handle handle { 0 };
    ItemResult result;
};

/// The write that ends the claim of a chunk. Every attempt writes the same content, which makes the write idempotent.
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
        MonotonicTime claimedAt, MonotonicTime leaseEnd)
        : m_serial(serial)
        , m_job(std::move(job))
        , m_stored(std::move(stored))
        , m_isSuspect(isSuspect)
        , m_claimedAt(claimedAt)
        , m_leaseEnd(leaseEnd)
        , m_idleSince(claimedAt)
    {
    }

    /// Identifies the claim within the controller.
    uint64_t serial() const { return m_serial; }
    const StoredJob& job() const { return *m_job; }
    const StoredChunk& stored() const { return m_stored; }
    void setStored(StoredChunk stored) { m_stored = std::move(stored); }
    /// Returns whether the chunk was suspect before this claim (see `ChunkRecord::isSuspect()`).
    bool isSuspect() const { return m_isSuspect; }
    MonotonicTime claimedAt() const { return m_claimedAt; }

    /// When the lease ends by this node's monotonic clock. The lease is counted from before the write that acquired or
    /// renewed it.
    MonotonicTime leaseEnd() const { return m_leaseEnd; }
    void setLeaseEnd(MonotonicTime end) { m_leaseEnd = end; }

    /// Parses the items that have no result yet from the lines of an input object, which holds an unsplit chunk.
    void load(std::string_view inputLines);
    bool isLoaded() const { return m_isLoaded; }

    /// Since when the chunk has been loaded without a running item.
    MonotonicTime idleSince() const { return m_idleSince; }
    void setIdleSince(MonotonicTime time) { m_idleSince = time; }

    std::vector<HeldItem>& items() { return m_items; }
    const std::vector<HeldItem>& items() const { return m_items; }
    HeldItem* findItem(uint32_t index);
    bool hasRunningItems() const;
    /// Returns whether the chunk is loaded and all its items have ended.
    bool isEnded() const;

    /// Prepares the write that ends the claim. If every item has a result, it marks the chunk as done; otherwise it
    /// releases the chunk with the results so far. Precondition: no item is running and no commit is pending.
    void prepareCommit(const std::string& writeToken);
    std::optional<ChunkCommit>& pendingCommit() { return m_pendingCommit; }
    const std::optional<ChunkCommit>& pendingCommit() const { return m_pendingCommit; }

private:
    uint64_t m_serial;
    std::shared_ptr<const StoredJob> m_job;
    StoredChunk m_stored;
    bool m_isSuspect;
    MonotonicTime m_claimedAt;
    MonotonicTime m_leaseEnd;
    bool m_isLoaded { false };
    MonotonicTime m_idleSince;
    std::vector<HeldItem> m_items;
    std::optional<ChunkCommit> m_pendingCommit;
};

}
