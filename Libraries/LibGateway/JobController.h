#pragma once

#include <LibGateway/GatewayEnvironment.h>
#include <LibGateway/JobLoader.h>
#include <LibGateway/OwnedJob.h>
#include <LibPlatform/TableFollower.h>

#include <QObject>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace Chicorydock {

/// Which nodes can run jobs.
class JobPeers {
public:
    virtual ~JobPeers() = default;

    virtual bool canRunJobs(const std::string& node) const = 0;
    virtual std::vector<std::string> nodesForJobs() const = 0;
};

/// The jobs of the deployment as one node sees them. Every job is a set of rows in the platform's store; the node that
/// its record names runs it. A job whose node is gone, or has lost the store, is taken over by another node.
///
/// Thread safety: used on the I/O thread.
class JobController final : public QObject, public TableListener {
public:
    using Done = std::function<void(std::optional<Error>)>;
    template <typename T> using Reply = std::function<void(std::variant<T, Error>)>;

    /// All parameters outlive the controller.
    JobController(GatewayEnvironment&, RowStore&, const JobPeers&, std::string node);
    ~JobController() override;

    /// Accepts a job, once, however often it is submitted. Replies with no error when the store keeps it.
    void submit(const SubmittedJob&, const GatewayRoute&, const std::string& host, const Done&);

    /// Returns the results from a position on, or an empty page. Replies NotFound only if the store has no such job.
    void readResults(const std::string& jobId, size_t after, const Reply<JobResultPage>&);

    /// Returns the body of an item.
    void readItem(const std::string& jobId, const std::string& itemId, const Reply<QByteArray>&);

    /// Ends a job. Items that run are stopped.
    void end(const std::string& jobId, const Done&);

    /// Sets the function that is called after new results of a job were committed here.
    void setListedHandler(std::function<void(const std::string& jobId)> handler) { m_onListed = std::move(handler); }

    /// Takes over jobs that nobody runs. Called several times a second.
    void tick();

    /// Gives all jobs to other nodes, with what was received of their items.
    void release();

    /// Returns whether all jobs have been given away.
    bool isReleased() const { return m_owned.empty() && m_releasing == 0; }

    size_t ownedJobs() const { return m_owned.size(); }
    size_t openJobs() const;

    // TableListener
    void onTableListed(const std::vector<StoredRow>&) override;
    void onRowsChanged(const std::vector<StoredRow>&) override;
    void onReachableChanged(bool) override;

private:
    void learn(const JobHead&);
    uint64_t waitingTokens(const std::string& route) const;
    void commitSubmission(const JobHead&, const QByteArray& content, const std::vector<JobItem>&, const Done&);
    void handleSubmission(const JobHead&, const std::vector<JobItem>&, const Done&, const StoreResult<RowCommit>&);
    void own(const JobHead&, const JobContent&);
    void dropOwned(const std::string& jobId);
    bool isOrphan(const JobHead&) const;
    /// Stops the items of this node's jobs while other nodes have the store and this one does not.
    void suspendWithoutStore(MonotonicTime now);
    Milliseconds claimDelay(const std::string& jobId) const;
    void claim(const JobHead&);
    void load(const JobHead&);
    /// Reads the head of a job from the store and learns it. Replies NotFound only if the store has no such job.
    void readHead(const std::string& jobId, const Reply<JobHead>&);
    void endRecord(JobHead, int triesLeft, const Done&);
    void releaseJob(OwnedJob&);
    template <typename Function> auto guarded(Function);

    GatewayEnvironment& m_environment;
    RowStore& m_store;
    const JobPeers& m_peers;
    const std::string m_node;
    /// All jobs that the store has told of.
    std::map<std::string, JobHead> m_records;
    std::map<std::string, std::unique_ptr<OwnedJob>> m_owned;
    /// Jobs whose claim or content is on its way.
    std::set<std::string> m_loading;
    std::map<std::string, MonotonicTime> m_orphanSince;
    std::function<void(const std::string&)> m_onListed;
    bool m_isReachable { false };
    /// When the store came back, or was lost.
    MonotonicTime m_reachableSince;
    MonotonicTime m_unreachableSince;
    bool m_isLeaving { false };
    size_t m_releasing { 0 };
    std::shared_ptr<bool> m_lifetime { std::make_shared<bool>(true) };
};

}
