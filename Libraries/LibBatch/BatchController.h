#pragma once

#include <LibBatch/BatchOptions.h>
#include <LibBatch/ClaimPlanner.h>
#include <LibBatch/HeldChunk.h>
#include <LibBatch/ItemExecutor.h>
#include <LibCore/SeededRandom.h>

#include <QJsonObject>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>

namespace Chicorydock {

/// Runs batch work on one node: claims chunks under leases, runs their items with the executor and commits the results.
///
/// Every write to a chunk is conditional on the version of the chunk's row, so that a holder that lost its lease
/// commits nothing. Claims and commits are also conditional on the version of the job's row, so that nothing is
/// committed after a cancellation.
///
/// While the store is unavailable, claimed chunks continue to run and their results are kept until they can be
/// committed; `maxClaimedChunks` limits the memory for them. On `release()`, the controller releases its chunks: it
/// cancels repeatable items in flight, waits for unrepeatable ones and commits the results so far as a partial segment,
/// so that the next holder runs only the remaining items.
///
/// Thread safety: `tick()`, `nextTick()` and `counters()` are called on one thread, which `tick()` blocks during calls
/// to the store. The other methods may be called from any thread.
class BatchController {
public:
    /// Called for each timeline event.
    using EventSink = std::function<void(
        std::string_view subject, std::string_view action, std::string_view id, const QJsonObject& details)>;

    /// The services, the executor and the clock must outlive the controller. `seed` must differ between runs of the
    /// same node, because the identity under which the run holds leases is derived from it.
    BatchController(
        BatchOptions, TableService&, ObjectStore&, ItemExecutor&, const Clock&, uint64_t seed, EventSink = {});
    ~BatchController();

    BatchController(const BatchController&) = delete;
    BatchController& operator=(const BatchController&) = delete;

    /// Sets a function that is called when an item has ended, to request a `tick()` soon. It is called on any thread.
    /// Precondition: set before the first `tick()`.
    void setWakeHandler(std::function<void()>);

    /// Performs all work that is due.
    void tick(MonotonicTime now);

    /// Returns when `tick()` has to be called next if the wake handler is not called before.
    MonotonicTime nextTick() const;

    /// Starts to release all chunks. Subsequent ticks complete this.
    void release() { m_isReleasing = true; }
    /// Returns whether `release()` was called and no chunk is held any longer.
    bool isReleased() const { return m_isReleasing && m_chunkCount == 0; }

    uint32_t claimedChunks() const { return m_chunkCount; }
    const BatchCounters& counters() const { return m_counters; }

private:
    struct Inbox;
    /// Number of items with the same path in held chunks.
    struct ItemCounts {
        uint32_t waiting { 0 };
        uint32_t running { 0 };
    };
    using Chunks = std::vector<std::unique_ptr<HeldChunk>>;

    bool runStoreStep(const std::function<void()>& step);
    bool mayDispatch(const HeldChunk&) const;
    bool mayRetry(const HeldItem&) const;

    void processOutcomes(MonotonicTime now);
    void applyOutcome(HeldChunk&, HeldItem&, const ItemOutcome&, MonotonicTime now);
    void endItem(HeldItem&, ItemResult);

    void renewLeases();
    bool refreshHeld(HeldChunk&);
    void checkCancellations(MonotonicTime now);
    void drop(HeldChunk&, std::string_view reason);
    void removeHeld(const HeldChunk&);

    void pollForWork(MonotonicTime now);
    bool claimNext();
    bool claim(const ClaimPlanner::Candidate&);
    bool hasTooManyLostClaims(const ChunkRecord&) const;
    std::map<std::string, ItemCounts> itemCounts() const;
    bool needsItems(const std::string& path, const ItemCounts&) const;
    bool isRunningLow() const;
    bool isHeld(const std::string& jobId, uint32_t first) const;

    void loadChunks();
    void load(HeldChunk&);

    void dispatch(MonotonicTime now);
    void writeIntents(HeldChunk&, MonotonicTime now);
    void resolveIntents(HeldChunk&);
    void start(HeldChunk&, HeldItem&);

    bool isIdleTooLong(HeldChunk&) const;
    void commitChunks();
    void commit(HeldChunk&);
    void finishCommit(HeldChunk&);
    void cancelRepeatableItems();

    std::string claimToken(const HeldChunk&) const;
    void record(
        std::string_view subject, std::string_view action, std::string_view id, const QJsonObject& details = {});

    BatchOptions m_options;
    ItemExecutor& m_executor;
    const Clock& m_clock;
    SeededRandom m_random;
    std::string m_holder;
    JobStore m_store;
    ClaimPlanner m_planner;
    EventSink m_eventSink;
    std::shared_ptr<Inbox> m_inbox;

    Chunks m_chunks;
    std::atomic<uint32_t> m_chunkCount { 0 };
    std::atomic<bool> m_isReleasing { false };
    bool m_hasCancelledItems { false };
    uint64_t m_lastSerial { 0 };
    MonotonicTime m_lastTick;
    bool m_isRunningLow { false };
    MonotonicTime m_nextPoll;
    Milliseconds m_pollInterval;
    MonotonicTime m_nextCancelCheck;
    MonotonicTime m_storeRetryAt;
    Milliseconds m_storeBackoff;
    BatchCounters m_counters;
};

}
