#pragma once

#include <LibGateway/GatewayEnvironment.h>
#include <LibGateway/JobLoader.h>
#include <LibGateway/JobRecords.h>
#include <LibGateway/OwnedJob.h>
#include <LibPlatform/TableFollower.h>

#include <QObject>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Chicorydock {

/// Time for which a node may lose its connections to the endpoints before its jobs pass to others. Items wait for such
/// a time without harm, and endpoints that crash together look like such a loss for a moment.
constexpr Milliseconds jobEndpointLossTolerance { 1'500 };

/// Reports which other nodes can run jobs.
class JobPeers {
public:
    virtual ~JobPeers() = default;

    virtual bool canRunJobs(const std::string& node) const = 0;
    virtual std::vector<std::string> nodesForJobs() const = 0;
};

/// Accepts, runs and reports the jobs of the deployment on one node. A job is stored as a set of rows in the platform's
/// store and run by the node that its record names as owner. If the owner has failed or lost its connection to the
/// store, another node claims the job.
///
/// Thread safety: used on the I/O thread.
class JobController final : public QObject, public TableListener {
public:
    using Done = std::function<void(std::optional<Error>)>;
    template <typename T> using Reply = std::function<void(std::variant<T, Error>)>;

    /// All parameters outlive the controller.
    JobController(GatewayEnvironment&, RowStore&, const JobPeers&, std::string node);
    ~JobController() override;

    /// Returns the identifier under which the other methods know a job of the caller. Without a workspace it is the
    /// caller's own identifier. Jobs that were accepted while the deployment had no workspaces, or while it had them,
    /// stay within reach after that has changed.
    std::string findId(const std::optional<std::string>& workspace, const std::string& callerId) const;

    /// Returns why the job does not fit into the limit of waiting tokens of the route, or nothing if it does.
    std::optional<Error> limitExceededBy(const SubmittedJob&, const GatewayRoute&) const;

    /// Submits a job; idempotent for each job identifier. Replies without an error once the job is stored.
    void submit(const SubmittedJob&, const GatewayRoute&, const std::string& host, const Done&);

    /// Reads the results starting at position `after`; the page may be empty. Replies NotFound only if the store has no
    /// such job, and NotReady instead of it until the jobs have been listed.
    void readResults(const std::string& jobId, size_t after, const Reply<JobResultPage>&);

    /// Reads the request body of an item.
    void readItem(const std::string& jobId, const std::string& itemId, const Reply<QByteArray>&);

    /// Cancels a job and stops its running items. Idempotent.
    void cancel(const std::string& jobId, const Done&);

    /// Sets the function that is called after this node committed results of a job.
    void setResultsCommittedHandler(std::function<void(const std::string& jobId)> handler)
    {
        m_onResultsCommitted = std::move(handler);
    }

    /// Claims orphaned jobs, suspends or resumes this node's jobs, and adapts their waiting items to the configuration
    /// and the endpoints. Must be called several times a second.
    void tick();

    /// Releases all jobs to other nodes, with the partial output of their items.
    void release();

    /// Returns the number of jobs that this node runs, or whose release the store has not confirmed.
    size_t unreleasedJobs() const { return m_owned.size() + m_pendingReleases; }
    bool isReleased() const { return unreleasedJobs() == 0; }

    size_t ownedJobs() const { return m_owned.size(); }
    size_t openJobs() const;

    // TableListener
    void onTableListed(const TableListing&) override;
    void onRowsChanged(const std::vector<StoredRow>&) override;
    void onReachableChanged(bool) override;

private:
    /// Returns the record of a job that is submitted now, without an owner and a time.
    static JobHead makeRecord(const SubmittedJob&, const GatewayRoute&);
    /// Takes notice of a version of a record, wherever it came from, and stops the job if it is no longer this node's.
    void updateRecord(const JobHead&);
    /// The same for a removal at that version of the store.
    void removeRecord(const std::string& jobId, uint64_t version);
    void applyRow(const StoredRow&);
    /// Commits a transaction, and takes notice of what the reply says about records once its receiver has handled it.
    void commit(const RowTransaction&, const RowStore::Reply<RowCommit>& onReply);
    void applyReply(const RowTransaction&, const RowCommit&);
    /// Returns whether this node may run the job: the record is the newest known, open and this node's, and the node is
    /// not leaving. All ways that lead to a run, or let one go on, ask this.
    bool mayRun(const JobHead&) const;
    /// Stops the job if it may no longer run here.
    void stopUnlessMayRun(const std::string& jobId);
    /// Returns the tokens that wait on the route of the job, or those of its workspace on that route if it has one,
    /// without the job itself.
    uint64_t waitingTokens(const JobHead&, bool ofWorkspace) const;
    void commitSubmission(const JobHead&, const QByteArray& content, const std::vector<JobItem>&, const Done&);
    void handleSubmission(const JobHead&, const std::vector<JobItem>&, const Done&, const StoreResult<RowCommit>&);
    /// Starts the job, if it may run here by now.
    void startJob(const JobHead&, const JobContent&);
    void handleJobEnd(const std::string& jobId, OwnedJob::Outcome);
    void removeOwnedJob(const std::string& jobId);
    /// Returns whether the job has no owner that can run it.
    bool isOrphan(const JobHead&) const;
    /// Suspends this node's jobs while the store is unreachable from here but not from other nodes.
    /// Returns whether this node has not reached the endpoints for so long that its jobs pass to others.
    bool hasLostEndpoints() const;
    void updateSuspension(MonotonicTime now);
    /// Returns how long a job must have been an orphan before this node claims it.
    Milliseconds claimDelay(const std::string& jobId, const std::vector<std::string>& peers) const;
    void claim(const JobHead&);
    void load(const JobHead&);
    /// Reads the head of a job from the store and updates the local copy. For replies without it see `readResults()`.
    void readHead(const std::string& jobId, const Reply<JobHead>&);
    void cancelRecord(JobHead, int retriesLeft, const Done&);
    void releaseJob(OwnedJob&);
    template <typename Function> auto guarded(Function);

    GatewayEnvironment& m_environment;
    RowStore& m_store;
    const JobPeers& m_peers;
    const std::string m_node;
    JobRecords m_records;
    std::map<std::string, std::unique_ptr<OwnedJob>> m_owned;
    /// Jobs that are being submitted, claimed or loaded by this node.
    std::set<std::string> m_loading;
    /// Jobs whose submission the store has not answered. They count as waiting.
    std::map<std::string, JobHead> m_submitting;
    std::map<std::string, MonotonicTime> m_orphanSince;
    std::function<void(const std::string&)> m_onResultsCommitted;
    bool m_isListed { false };
    bool m_isStoreReachable { false };
    /// When the store last became reachable and unreachable.
    MonotonicTime m_reachableSince;
    MonotonicTime m_unreachableSince;
    bool m_isLeaving { false };
    size_t m_pendingReleases { 0 };
    std::shared_ptr<bool> m_lifetime { std::make_shared<bool>(true) };
};

}
