#pragma once

#include <LibBatch/JobService.h>
#include <LibBatch/JobStore.h>
#include <LibCore/Random.h>

#include <mutex>

namespace Chicorydock {

/// Job service that stores jobs in the platform's tables and objects. It keeps no state in memory.
class TableJobService final : public JobService {
public:
    /// `chunkItems` is the chunk size of new jobs; it must be positive. The random source generates write tokens and
    /// must not be used elsewhere.
    TableJobService(TableService&, ObjectStore&, const Clock&, Random&, uint32_t chunkItems);

    std::string putFile(std::string_view workspace, std::string_view content) override;
    std::string file(std::string_view workspace, std::string_view id) override;
    JobView submit(const JobSubmission&) override;
    JobView status(std::string_view workspace, std::string_view id) override;
    JobView cancel(std::string_view workspace, std::string_view id) override;
    ResultPage results(std::string_view workspace, std::string_view id, uint32_t first, uint32_t limit) override;
    std::vector<JobView> list(std::string_view workspace, std::string_view after, size_t limit) override;

private:
    StoredJob find(std::string_view workspace, std::string_view id);
    JobView view(const JobRecord&);
    JobView viewAfterWrite(const JobRecord&);
    static JobView viewWithoutChunks(const JobRecord&);
    std::string newWriteToken();
    bool appendResults(const ChunkRecord&, uint32_t total, uint32_t limit, bool skipsGaps, ResultPage&);

    JobStore m_store;
    const Clock& m_clock;
    std::mutex m_randomMutex;
    Random& m_random;
    uint32_t m_chunkItems;
};

}
