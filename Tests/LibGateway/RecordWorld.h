#pragma once

#include "FakeJobPeers.h"
#include "GatewayFixture.h"
#include "HeldReplyStore.h"

#include <LibGateway/JobController.h>
#include <Tests/Support/SimulatedEventLoop.h>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Chicorydock {

/// Two nodes with their real job code that share one store and one job. The test decides when each node receives the
/// replies of the store and the feed of jobs, and the nodes follow what they have been told about the record.
///
/// Thread safety: none.
class RecordWorld {
public:
    static constexpr const char* jobId = "j";

    struct Node : GatewayFixture {
        FakeJobPeers peers;
        /// The newest version of the record that any reply or the feed has brought, and whether it says that this node
        /// runs the job.
        uint64_t toldVersion { 0 };
        bool isToldToRun { false };
        /// Version up to which the feed has been delivered.
        uint64_t fedVersion { 0 };
        HeldReplyStore link;
        std::unique_ptr<JobController> jobs;

        Node(MemoryRowStore& table, const std::string& name)
            : link(table, [this, name](const std::vector<StoredRow>& rows) { hear(name, rows); })
            , jobs(std::make_unique<JobController>(environment, link, peers, name))
        {
            jobs->onTableListed({});
            jobs->onReachableChanged(true);
            clock.advance(std::chrono::seconds { 5 });
        }

        /// Notes what rows say about the record.
        void hear(const std::string& name, const std::vector<StoredRow>& rows)
        {
            for (const StoredRow& it : rows) {
                if (it.address != JobRows::record(jobId) || it.version <= toldVersion)
                    continue;
                toldVersion = it.version;
                const auto head = it.isRemoved ? std::nullopt : decodeJobHead(it);
                isToldToRun = head && head->state == JobHead::State::Open && head->owner == name;
            }
        }

        /// Returns whether the node runs a job although the newest that it was told says otherwise.
        bool runsStaleRecord() const { return jobs->ownedJobs() > 0 && !isToldToRun; }

        size_t openCalls()
        {
            size_t open = 0;
            for (size_t n = 0; n < http.count(); ++n)
                open += http.call(n).isCancelled ? 0 : 1;
            return open;
        }
    };

    explicit RecordWorld(SimulatedEventLoop& loop)
        : m_loop(loop)
    {
    }

    Node& node(size_t n) { return *m_nodes.at(n); }
    size_t nodes() const { return m_nodes.size(); }
    MemoryRowStore& table() { return m_table; }

    static std::string nameOf(size_t n) { return "n" + std::to_string(n); }

    void submit(size_t n)
    {
        Node& it = node(n);
        it.jobs->submit({ jobId, { { "i", "/b/x", {}, "body", 10 } } },
            *it.environment.configuration->findJobRoute("b", "h.example"), "h.example", [](const auto&) {});
        GatewayFixture::settle();
    }

    void cancel(size_t n)
    {
        node(n).jobs->cancel(jobId, [this](const std::optional<Error>& error) { m_isEndAcknowledged |= !error; });
        GatewayFixture::settle();
    }

    /// Whether a node has acknowledged the end of the job.
    bool isEndAcknowledged() const { return m_isEndAcknowledged; }

    /// Returns the changes of the record that the feed has not brought to the node yet.
    std::vector<StoredRow> pendingChanges(size_t n)
    {
        std::vector<StoredRow> rows;
        m_table.changes(JobRows::recordTable, node(n).fedVersion, Milliseconds { 0 },
            [&](const StoreResult<RowPage>& result) { rows = std::get<RowPage>(result).rows; });
        m_table.deliver();
        return rows;
    }

    /// Delivers the first `most` of these changes.
    void feed(size_t n, size_t most = 100)
    {
        std::vector<StoredRow> rows = pendingChanges(n);
        rows.resize(std::min(rows.size(), most));
        if (rows.empty())
            return;
        Node& it = node(n);
        it.fedVersion = rows.back().version;
        it.hear(nameOf(n), rows);
        it.jobs->onRowsChanged(rows);
        GatewayFixture::settle();
    }

    void reply(size_t n, size_t which)
    {
        node(n).link.deliver(which);
        GatewayFixture::settle();
    }

    void replyAll(size_t n)
    {
        node(n).link.deliverAll();
        GatewayFixture::settle();
    }

    /// Lets time pass at a node, with a tick at the end.
    void advance(size_t n, Milliseconds time)
    {
        node(n).clock.advance(time);
        m_clock.advance(time);
        m_loop.advance(time);
        node(n).jobs->tick();
        GatewayFixture::settle();
    }

    /// Removes the record as an operator may.
    void removeRecord() { m_table.remove(JobRows::record(jobId)); }

    /// Lets the endpoint complete the newest run of the node, if it is open.
    void completeRun(size_t n)
    {
        FakeHttpClient& http = node(n).http;
        if (http.count() == 0 || http.last().isCancelled)
            return;
        http.handOver();
        http.headers(200);
        http.data("id: 1\ndata: a\n\n");
        if (!http.last().isCancelled)
            http.finish();
        GatewayFixture::settle();
    }

private:
    SimulatedEventLoop& m_loop;
    SimulatedClock m_clock;
    MemoryRowStore m_table { m_clock };
    std::array<std::unique_ptr<Node>, 2> m_nodes { std::make_unique<Node>(m_table, nameOf(0)),
        std::make_unique<Node>(m_table, nameOf(1)) };
    bool m_isEndAcknowledged { false };
};

}
