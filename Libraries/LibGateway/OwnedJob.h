#pragma once

#include <LibGateway/ItemRun.h>
#include <LibGateway/JobHead.h>
#include <LibGateway/JobLoader.h>

#include <QTimer>

#include <functional>
#include <memory>
#include <vector>

namespace Chicorydock {

/// A job that this node runs. Results get their positions in the order in which they are committed; a commit holds only
/// while the job's row is the one that this node wrote, and only if the positions are free, so it applies once.
///
/// Thread safety: used on the I/O thread.
class OwnedJob final {
public:
    /// How the work on the job ended.
    enum class End : uint8_t {
        /// All items have a result.
        Done,
        /// Another node has the job, or its caller ended it.
        Lost,
    };

    /// `content` is what the store holds of the job. `onEnd` is called once; it must not destroy the job at once.
    /// `onListed` is called after each commit.
    OwnedJob(GatewayEnvironment&, RowStore&, JobHead, JobContent, std::function<void(End)> onEnd,
        std::function<void()> onListed);
    ~OwnedJob();

    void start();

    /// Stops all items and returns the transaction that gives the job away, with what was received of them.
    RowTransaction release();

    /// Returns the item, or null if the job has none of that name or it had a result when this node took the job.
    const JobItem* findItem(const std::string& id) const;

    /// Stops all items, without results.
    void stop();

    /// Stops the items for a while or lets them go on. Results that are there wait for the store as before.
    void setSuspended(bool);

    const JobHead& record() const { return m_record; }

    /// Tokens of the items without a result.
    uint64_t waitingTokens() const;

private:
    void addItems(JobContent&);
    /// Writes what was received of the items, so that another node can go on from there.
    void checkpoint();
    void commitCheckpoint();
    /// Returns the rows of what was received since the last call; empty if that is nothing.
    std::vector<RowWrite> takeProgressRows();
    void handleResult(JobResult);
    void commit();
    RowTransaction transaction(const std::vector<JobResult>&) const;
    void handleCommit(const StoreResult<RowCommit>&);
    void handleConflict(const RowCommit&);
    bool isOwnCommit(const std::vector<StoredRow>& current) const;
    void handleListed();
    void end(End);

    GatewayEnvironment& m_environment;
    RowStore& m_store;
    JobHead m_record;
    ItemRun::Job m_job;
    const std::function<void(End)> m_onEnd;
    const std::function<void()> m_onListed;
    std::vector<std::unique_ptr<ItemRun>> m_runs;
    /// Position of the next result.
    size_t m_nextPosition { 0 };
    std::vector<JobResult> m_pending;
    /// Results of the commit in progress.
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
