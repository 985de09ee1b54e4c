#pragma once

#include <LibBatch/ItemExecutor.h>
#include <LibConfiguration/Configuration.h>
#include <LibCore/RcuCell.h>
#include <LibDispatch/RunnerEnvironment.h>

#include <atomic>
#include <unordered_map>

namespace Chicorydock {

/// Runs batch items through the same schedulers and runners as online requests, as work of class `Batch`.
///
/// Thread safety: all methods may be called from any thread. The items run on the thread of the environment, on which
/// the executor must be destroyed.
class BatchItemExecutor final : public ItemExecutor {
public:
    BatchItemExecutor(RunnerEnvironment&, const RcuCell<Configuration>&);
    ~BatchItemExecutor() override;

    Handle execute(const BatchItem&, Callback) override;
    void cancel(Handle) override;
    uint32_t freeCapacity(const std::string& path) const override;

    /// One item in flight.
    class Execution;

private:
    void start(Handle, const BatchItem&, Callback);
    void end(Handle, const ItemOutcome&);
    std::string serviceOf(const std::string& path) const;

    RunnerEnvironment& m_environment;
    const RcuCell<Configuration>& m_configuration;
    std::atomic<Handle> m_lastHandle { 0 };
    // Accessed only on the thread of the environment.
    std::unordered_map<Handle, std::shared_ptr<Execution>> m_executions;
};

}
