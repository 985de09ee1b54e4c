#pragma once

#include <LibGateway/ItemRun.h>
#include <LibGateway/JobHead.h>
#include <LibGateway/JobLoader.h>

#include <QTimer>

#include <functional>
#include <memory>
#include <vector>

namespace Chicorydock {

/// A job that this node runs. Results are numbered in the order in which they are committed. A commit requires that the
/// job's row still has the version that this node wrote and that the positions of its results are free, so it is
/// applied at most once.
///
/// Thread safety: used on the I/O thread.
class OwnedJob final {
public:
    /// How the work on the job ended on this node.
    enum class Outcome : uint8_t {
        /// All items have a result.
        Done,
        /// Another node owns the job, its caller cancelled it, or it was removed.
        Lost,
    };

    using Commit = std::function<void(const RowTransaction&, const RowStore::Reply<RowCommit>&)>;

    /// What a job needs of its owner. No function may destroy the job synchronously.
    struct Owner {
        /// Commits a transaction of the job.
        Commit commit;
        /// Called once, when the work on the job has ended.
        std::function<void(Outcome)> onEnd;
        /// Called after each commit of results.
        std::function<void()> onResultsCommitted;
    };

    /// `content` is the stored data of the job. `storeTime` is the present time of the store's clock, if known.
    OwnedJob(GatewayEnvironment&, std::optional<Milliseconds> storeTime, JobHead, JobContent, Owner);
    ~OwnedJob();

    void start();

    /// Stops all items and returns the transaction that gives up ownership of the job and stores the partial output of
    /// its items.
    RowTransaction release();

    /// Returns the item, or null if the job has no item with that identifier or the item already had a result when this
    /// node acquired the job.
    const JobItem* findItem(const std::string& id) const;

    /// Stops all items without recording results.
    void stop();

    /// Adapts the items that wait to the present configuration and endpoints.
    void update();

    /// Suspends or resumes the items. Results that are not committed yet stay queued for the store.
    void setSuspended(bool);

    const JobHead& record() const { return m_record; }

    /// Returns the sum of the tokens of the items without a result.
    uint64_t waitingTokens() const;

private:
    void addItems(JobContent&);
    /// Stores the partial output of the items, so that another node can resume them.
    void checkpoint();
    void commitCheckpoint();
    void handleCheckpointConflict(const RowCommit&);
    /// Returns rows with the output received since the last call; empty if there was none.
    std::vector<RowWrite> collectProgressRows();
    void handleResult(JobResult);
    void commit();
    RowTransaction transaction(const std::vector<JobResult>&) const;
    void handleCommit(const StoreResult<RowCommit>&);
    void handleConflict(const RowCommit&);
    /// Ends the work on a job that another node owns, that its caller cancelled, or that was removed.
    void handleLoss();
    /// Returns whether `current` shows that the commit in progress was applied although its reply was lost.
    bool isOwnCommit(const std::vector<StoredRow>& current) const;
    void handleResultsCommitted();
    void finish(Outcome);

    GatewayEnvironment& m_environment;
    JobHead m_record;
    ItemRun::Job m_job;
    const Owner m_owner;
    std::vector<std::unique_ptr<ItemRun>> m_runs;
    /// Position of the next result to commit.
    size_t m_nextPosition { 0 };
    /// Results that wait for the next commit.
    std::vector<JobResult> m_pendingResults;
    /// Results in the commit in progress.
    std::vector<JobResult> m_committing;
    RowTransaction m_transaction;
    /// The checkpoint in progress; empty if there is none.
    RowTransaction m_checkpoint;
    size_t m_nextProgress { 0 };
    bool m_hasEnded { false };
    bool m_isSuspended { false };
    QTimer m_checkpointTimer;
    QTimer m_commitTimer;
    std::shared_ptr<bool> m_lifetime { std::make_shared<bool>(true) };
};

}
