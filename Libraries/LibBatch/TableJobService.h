#pragma once

#include <LibBatch/JobService.h>
#include <LibBatch/JobStore.h>
#include <LibCore/Random.h>

#include <mutex>

namespace Chicorydock {

/// Takes in jobs and answers for them from the platform's tables and objects; keeps no state of its own.
class TableJobService final : public JobService {
public:
    /// `chunkItems` is the size of the chunks of new jobs; positive. The random source gives writer tokens and is used
    /// by this service only.
    TableJobService(TableService&, ObjectStore&, const Clock&, Random&, uint32_t chunkItems);

    std::string putFile(std::string_view workspace, std::string_view content) override;
    std::string file(std::string_view workspace, std::string_view id) override;
    JobView submit(const JobSubmission&) override;
    JobView status(std::string_view workspace, std::string_view id) override;
    JobView cancel(std::string_view workspace, std::string_view id) override;
    ResultPage results(std::string_view workspace, std::string_view id, uint32_t after, uint32_t limit) override;
    std::vector<JobView> list(std::string_view workspace, std::string_view after, size_t limit) override;

private:
    StoredJob find(std::string_view workspace, std::string_view id);
    JobView view(const JobRecord&);
    std::string writerToken();
    bool appendResults(const ChunkRecord&, uint32_t total, uint32_t limit, bool skipsGaps, ResultPage&);

    JobStore m_store;
    const Clock& m_clock;
    std::mutex m_randomMutex;
    Random& m_random;
    uint32_t m_chunkItems;
};

}
