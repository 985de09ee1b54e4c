#include "BatchCluster.h"
#include "JobTableModel.h"

#include <LibBatch/SegmentFile.h>
#include <LibCore/Error.h>
#include <Tests/Support/SeededProperty.h>

#include <QJsonDocument>

using namespace Chicorydock;

namespace {

constexpr uint32_t nodeCount = 3;
constexpr uint32_t jobCount = 4;

enum class Action : uint8_t {
    Submit,
    SubmitConflicting,
    Cancel,
    Tick,
    Finish,
    Advance,
    Expire,
    Crash,
    Release,
    ToggleOutage,
    ToggleMessageLoss,
};

struct Step {
    Action action { Action::Tick };
    uint32_t target { 0 };
    uint32_t amount { 0 };
};

[[maybe_unused]] std::ostream& operator<<(std::ostream& out, const Step& step)
{
    return out << static_cast<int>(step.action) << '/' << step.target << '/' << step.amount;
}

rc::Gen<Step> arbitraryStep()
{
    // Work is more frequent than faults, so that jobs make progress.
    const auto action = rc::gen::weightedElement<Action>(
        { { 4, Action::Submit }, { 1, Action::SubmitConflicting }, { 1, Action::Cancel }, { 24, Action::Tick },
            { 16, Action::Finish }, { 8, Action::Advance }, { 2, Action::Expire }, { 2, Action::Crash },
            { 1, Action::Release }, { 2, Action::ToggleOutage }, { 2, Action::ToggleMessageLoss } });
    return rc::gen::apply(
        [](Action it, uint32_t target, uint32_t amount) {
            return Step { it, target, amount };
        },
        action, rc::gen::inRange<uint32_t>(0, 12), rc::gen::inRange<uint32_t>(1, 12));
}

/// Applies steps to the real job table and to the model, and compares them.
class Comparison {
public:
    Comparison()
        : m_cluster(nodeCount, options())
        , m_faults(99)
        , m_tables(m_cluster.tables, m_faults)
        , m_objects(m_cluster.objects, m_faults)
        , m_random(98)
        , m_service(m_tables, m_objects, m_cluster.clock, m_random, chunkItems)
        , m_store(m_cluster.tables, m_cluster.objects)
    {
        for (uint32_t n = 0; n < nodeCount; ++n)
            m_cluster.node(n).executor->setCapacity(5);
    }

    void apply(const Step& step)
    {
        const uint32_t n = step.target % nodeCount;
        BatchCluster::Node& node = m_cluster.node(n);
        switch (step.action) {
        case Action::Submit:
            return submit(step.target % jobCount);
        case Action::SubmitConflicting:
            return submitConflicting(step.target % jobCount);
        case Action::Cancel:
            return cancel(step.target % jobCount);
        case Action::Tick:
            return m_cluster.tick(n);
        case Action::Finish:
            return node.executor->finish(&decide, step.amount);
        case Action::Advance:
            return m_cluster.clock.advance(Milliseconds { 300 * step.amount });
        case Action::Expire:
            // Every holder may lose its chunks to another node.
            ++m_holderLosses;
            return m_cluster.clock.advance(options().lease + Milliseconds { 1'000 });
        case Action::Crash:
            return restart(n);
        case Action::Release:
            node.controller->release();
            m_cluster.tick(n);
            node.executor->finish(&decide);
            m_cluster.tick(n);
            return restart(n);
        case Action::ToggleOutage:
            m_outages[n] = !m_outages[n];
            node.faults.setOutage(m_outages[n]);
            return;
        case Action::ToggleMessageLoss:
            toggleMessageLoss(step.target);
            return;
        }
    }

    void compare()
    {
        for (auto& [id, job] : m_model.jobs) {
            const auto stored = m_store.job(id);
            RC_ASSERT(stored || !job.isAccepted);
            if (stored)
                compareJob(id, job, *stored);
        }
        for (const auto& [item, runs] : m_cluster.runs) {
            if (m_model.jobs[item.first].unrepeatable)
                RC_ASSERT(runs <= 1U);
        }
    }

    /// Stops all faults and runs every stored job to its end.
    void finish()
    {
        m_faults.setOutage(false);
        for (uint32_t n = 0; n < nodeCount; ++n) {
            m_cluster.node(n).faults.setOutage(false);
            m_cluster.node(n).faults.setLostRequestShare(0);
            m_cluster.node(n).faults.setLostResponseShare(0);
        }
        m_faults.setLostResponseShare(0);
        for (auto& [id, job] : m_model.jobs) {
            if (!m_store.job(id))
                continue;
            RC_ASSERT(m_cluster.runToEnd(id, &decide));
            compare();
            const JobView view = m_cluster.service.status("", id);
            RC_ASSERT(view.state != JobView::State::InProgress);
            RC_ASSERT(!job.isCancelled || view.state == JobView::State::Cancelled);
            if (view.state != JobView::State::Completed)
                continue;
            RC_ASSERT(job.results.size() == job.total);
            RC_ASSERT(view.completed + view.failed == job.total);
            const ResultPage page = m_cluster.service.results("", id, 0, job.total);
            RC_ASSERT(page.complete);
            RC_ASSERT(page.lines.size() == job.total);
        }
    }

private:
    static constexpr uint32_t chunkItems = 4;

    static BatchOptions options()
    {
        BatchOptions result;
        result.maxClaimedChunks = 2;
        result.minIntentGroupSize = 3;
        return result;
    }

    static ItemOutcome decide(const BatchItem& item)
    {
        if (JobTableModel::alwaysFails(item.index))
            return { ItemOutcome::Kind::Failed, { 500, {} } };
        return FakeExecutor::succeed(item);
    }

    JobSubmission submission(uint32_t k) const
    {
        return m_cluster.submission("job-" + std::to_string(k), 1 + k * 8, k % 2 == 1);
    }

    void submit(uint32_t k)
    {
        const JobSubmission job = submission(k);
        JobTableModel::Job& model = m_model.jobs[job.id];
        model.total = 1 + k * 8;
        model.unrepeatable = job.unrepeatable;
        try {
            const JobView view = m_service.submit(job);
            RC_ASSERT(view.total == model.total);
            model.isAccepted = true;
        } catch (const Error& error) {
            checkIsUnavailable(error);
        }
    }

    void submitConflicting(uint32_t k)
    {
        JobSubmission other = submission(k);
        if (!m_model.jobs[other.id].isAccepted)
            return;
        other.items += "\n" + BatchCluster::items(1).replace(14, 4, "more");
        try {
            m_service.submit(other);
            RC_FAIL("a different job was accepted with an existing id");
        } catch (const Error& error) {
            if (error.kind() != ErrorKind::Conflict)
                checkIsUnavailable(error);
        }
    }

    void cancel(uint32_t k)
    {
        const std::string id = "job-" + std::to_string(k);
        const auto it = m_model.jobs.find(id);
        if (it == m_model.jobs.end() || !it->second.isAccepted)
            return;
        it->second.mayBeCancelled = true;
        try {
            const JobView view = m_service.cancel("w", id);
            RC_ASSERT(view.state != JobView::State::InProgress);
            if (view.state == JobView::State::Cancelled) {
                it->second.isCancelled = true;
                it->second.cancelledView = view;
            }
        } catch (const Error& error) {
            checkIsUnavailable(error);
        }
    }

    static void checkIsUnavailable(const Error& error)
    {
        RC_ASSERT(error.kind() == ErrorKind::PlatformUnavailable || error.kind() == ErrorKind::OutcomeUnknown);
    }

    void restart(uint32_t n)
    {
        ++m_holderLosses;
        m_cluster.crash(n);
        m_cluster.node(n).executor->setCapacity(5);
    }

    void toggleMessageLoss(uint32_t n)
    {
        FaultInjector& faults = n % (nodeCount + 1) == nodeCount ? m_faults : m_cluster.node(n % nodeCount).faults;
        bool& isOn = m_isLossy[n % (nodeCount + 1)];
        isOn = !isOn;
        faults.setLostResponseShare(isOn ? 0.4 : 0);
        faults.setLostRequestShare(isOn ? 0.2 : 0);
    }

    void compareJob(const std::string& id, JobTableModel::Job& job, const StoredJob& stored)
    {
        RC_ASSERT(stored.record.total == job.total);
        RC_ASSERT(job.mayBeCancelled || stored.record.state != JobView::State::Cancelled);
        std::map<uint32_t, std::string> results;
        for (const auto& [first, chunk] : m_store.chunks(stored.record)) {
            for (const Segment& segment : chunk.record.segments)
                collect(segment, results);
        }
        for (const auto& [index, line] : job.results) {
            const auto it = results.find(index);
            RC_ASSERT(it != results.end());
            RC_ASSERT(it->second == line);
        }
        for (const auto& [index, line] : results) {
            const QJsonObject object = QJsonDocument::fromJson(QByteArray::fromStdString(line)).object();
            RC_ASSERT(object["custom_id"].toString().toStdString() == "item-" + std::to_string(index));
            const int status = object["response"].toObject()["status_code"].toInt();
            RC_ASSERT(JobTableModel::allowedStatuses(job, index, m_holderLosses).contains(status));
        }
        job.results = std::move(results);
        if (job.isCancelled)
            RC_ASSERT(m_cluster.service.status("", id) == job.cancelledView);
    }

    void collect(const Segment& segment, std::map<uint32_t, std::string>& results)
    {
        const auto content = m_store.object(segment.object);
        RC_ASSERT(content.has_value());
        for (const auto& [index, line] : SegmentFile::parse(*content)) {
            if (!segment.succeeded.contains(index) && !segment.failed.contains(index))
                continue;
            // An item has exactly one result, whatever happened to its chunk.
            RC_ASSERT(results.emplace(index, line).second);
        }
    }

    BatchCluster m_cluster;
    FaultInjector m_faults;
    FaultyTableService m_tables;
    FaultyObjectStore m_objects;
    SeededRandom m_random;
    TableJobService m_service;
    JobStore m_store;
    JobTableModel m_model;
    std::map<uint32_t, bool> m_outages;
    std::map<uint32_t, bool> m_isLossy;
    uint32_t m_holderLosses { 0 };
};

}

// Guards against any order of faults, claims and cancellations that loses, duplicates or changes a result, commits one
// after a cancellation, or runs an unrepeatable item twice.
TEST_CASE("the job table agrees with its model under faults")
{
    checkSeededProperty("job table", 20'261, 300, [] {
        // A job needs more than the default of at most 100 steps.
        const auto steps = *rc::gen::withSize(
            [](int size) { return rc::gen::resize(4 * size, rc::gen::container<std::vector<Step>>(arbitraryStep())); });
        Comparison comparison;
        for (const Step& step : steps) {
            comparison.apply(step);
            comparison.compare();
        }
        comparison.finish();
    });
}
