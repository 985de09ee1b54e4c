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

/// Runs batch work at one node: claims chunks under leases, runs their items through the executor, commits the results.
///
/// Every write to a chunk is conditional on the version of its row, so that a holder whose lease was taken over commits
/// nothing, and on the version of the job's row, so that nothing is committed after a cancellation.
///
/// While the store is unavailable, claimed chunks go on and their results are kept until they can be committed;
/// `maxClaimedChunks` bounds the memory. A released controller hands its chunks back: repeatable items in flight are
/// cancelled, unrepeatable ones are waited for, and the results so far are committed as a partial segment, so that the
/// next holder runs only the rest.
///
/// Thread safety: `tick()` is called on one thread, which it blocks during calls to the store; `nextTick()` and
/// `counters()` are called there, too. The other methods may be called from any thread.
class BatchController {
public:
    /// Called for each event of the time line: subject, action, identifier and details.
    using EventSink = std::function<void(
        std::string_view subject, std::string_view action, std::string_view id, const QJsonObject& details)>;

    /// The store's services, the executor and the clock outlive the controller. `seed` has to differ between runs of
    /// the same node, since it also identifies the run as a holder of leases.
    BatchController(
        BatchOptions, TableService&, ObjectStore&, ItemExecutor&, const Clock&, uint64_t seed, EventSink = {});
    ~BatchController();

    BatchController(const BatchController&) = delete;
    BatchController& operator=(const BatchController&) = delete;

    /// Sets a function that asks for a `tick()` soon, because an item has ended. It is called on any thread.
    /// Precondition: set before the first `tick()`.
    void setWakeHandler(std::function<void()>);

    /// Does everything that is due.
    void tick(MonotonicTime now);

    /// Returns when `tick()` has to be called even if nothing happens.
    MonotonicTime nextTick() const;

    /// Begins to hand all chunks back. Further ticks complete it.
    void release() { m_isReleasing = true; }
    /// Returns whether `release()` was called and no chunk is held any more.
    bool isReleased() const { return m_isReleasing && m_chunkCount == 0; }

    uint32_t claimedChunks() const { return m_chunkCount; }
    const BatchCounters& counters() const { return m_counters; }

private:
    struct Inbox;
    /// Items of one path in held chunks.
    struct Load {
        uint32_t waiting { 0 };
        uint32_t running { 0 };
    };
    using Chunks = std::vector<std::unique_ptr<HeldChunk>>;

    bool useStore(const std::function<void()>& step);
    bool mayDispatch(const HeldChunk&) const;
    bool mayRetry(const HeldItem&) const;

    void takeOutcomes(MonotonicTime now);
    void applyOutcome(HeldChunk&, HeldItem&, const ItemOutcome&, MonotonicTime now);
    void endItem(HeldItem&, ItemResult);

    void renewLeases();
    bool refreshHeld(HeldChunk&);
    void checkCancellations(MonotonicTime now);
    void drop(HeldChunk&, std::string_view reason);
    void removeHeld(const HeldChunk&);

    void look(MonotonicTime now);
    bool claimNext();
    bool claim(const ClaimPlanner::Candidate&);
    bool isLostTooOften(const ChunkRecord&) const;
    std::map<std::string, Load> loads() const;
    bool needsItems(const std::string& path, const Load&) const;
    bool isRunningOut() const;
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
    void stopRunning();

    std::string intentWriter(const HeldChunk&) const;
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
    bool m_hasStoppedRunning { false };
    uint64_t m_lastSerial { 0 };
    MonotonicTime m_lastTick;
    bool m_isRunningOut { false };
    MonotonicTime m_nextLook;
    Milliseconds m_lookInterval;
    MonotonicTime m_nextCancelCheck;
    MonotonicTime m_storeRetryAt;
    Milliseconds m_storeBackoff;
    BatchCounters m_counters;
};

}
