#pragma once

#include <LibBatch/ChunkRecord.h>
#include <LibBatch/JobRecord.h>
#include <LibPlatform/ObjectStore.h>
#include <LibPlatform/TableService.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Chicorydock {

/// A job record with the version of its row.
struct StoredJob {
    JobRecord record;
    uint64_t version { 0 };
};

/// A chunk record with the version of its row; version 0 means that there is no row yet.
struct StoredChunk {
    ChunkRecord record;
    uint64_t version { 0 };
};

/// The chunks of a job, keyed by the index of their first item. Chunks that were never claimed are included.
using ChunkMap = std::map<uint32_t, StoredChunk>;

/// The result of a conditional write.
struct WriteResult {
    enum class Kind : uint8_t {
        Applied,
        /// The chunk is no longer in the expected state.
        ChunkChanged,
        /// The job has ended.
        JobEnded,
    };

    Kind kind { Kind::Applied };
    /// The new version of the row if the write was applied.
    uint64_t version { 0 };
};

/// The durable state of batch jobs and the transactions on it.
///
/// Tables: `jobs` (row ID), `open_jobs` (row DEADLINE/ID, only jobs in progress, ordered by deadline), `workspace_jobs`
/// (row WORKSPACE/ID), `chunks` (row JOB/FIRST), `intents` (row JOB/ITEM). Objects: `input/DIGEST-SIZE/CHUNK`,
/// `result/JOB/FIRST/EPOCH`, `file/WORKSPACE/ID`.
///
/// Every write stores a unique token in its row. After a lost response the row is read back, and the token shows
/// whether the write took effect. All methods throw Error(PlatformUnavailable); those that write also throw
/// Error(OutcomeUnknown) if the write may have taken effect and the row could not be read back. Repeating a write with
/// the same token is safe.
///
/// Thread safety: all methods may be called from any thread.
class JobStore {
public:
    JobStore(TableService& tables, ObjectStore& objects)
        : m_tables(tables)
        , m_objects(objects)
    {
    }

    std::optional<StoredJob> job(std::string_view id);

    /// Inserts a job unless one with the same id exists. Returns the job that is stored after the call.
    StoredJob insertJob(const JobRecord&);

    /// Ends an open job with the state and counts of `record`. Returns whether this took effect. Precondition:
    /// `record` has a new write token.
    bool endJob(const JobRecord& record, uint64_t version);

    /// Returns up to `limit` open jobs after `cursor`, ordered by deadline, and advances the cursor. Only `id`,
    /// `workspace`, `total`, `chunkItems`, `paths`, `unrepeatable` and `deadline` are set.
    std::vector<JobRecord> openJobs(std::string& cursor, size_t limit);

    /// Returns the key by which `openJobs()` orders the job.
    static std::string openJobKey(const JobRecord&);

    std::vector<std::string> jobIdsInWorkspace(std::string_view workspace, std::string_view after, size_t limit);

    /// Returns all chunks of the job. Reads one page of rows per 1,000 chunks that were claimed at least once.
    ChunkMap chunks(const JobRecord&);

    /// Returns the chunk rows of the job that contain items with index `first` or higher: at least `limit` rows if
    /// there are that many. Precondition: `limit` is positive.
    std::vector<ChunkRecord> chunkRows(const JobRecord&, uint32_t first, size_t limit);

    std::optional<StoredChunk> chunk(std::string_view jobId, uint32_t first);

    /// Writes a chunk if its row has the given version (0: no row) and the job is still open, that is, its row still
    /// has the version of the given job. The intent records of the items in `intentsToRemove` are removed in the same
    /// transaction.
    WriteResult writeChunk(
        const StoredJob&, const ChunkRecord&, uint64_t version, const std::vector<uint32_t>& intentsToRemove = {});

    /// Replaces a chunk by its two halves. Returns whether this took effect.
    WriteResult splitChunk(const StoredJob&, const StoredChunk&, const std::string& writeToken);

    /// Writes several chunks in one transaction without checking that their jobs are open. Returns the new versions, or
    /// the position of the first chunk that has changed. Does not resolve unknown outcomes.
    CommitResult renewChunks(const std::vector<std::pair<std::string, StoredChunk>>& jobIdsAndChunks);

    /// Inserts intent records for items of a chunk that still has the given version. `claimToken` identifies the claim
    /// that runs the items. Returns false if the chunk has changed or one of the items already has an intent record.
    bool insertIntents(std::string_view jobId, uint32_t chunkFirst, uint64_t version,
        const std::vector<uint32_t>& items, const std::string& claimToken);

    /// Returns the claim token of each item in the range that has an intent record, by item index.
    std::map<uint32_t, std::string> intents(std::string_view jobId, uint32_t first, uint32_t count);

    /// Stores the input lines of one chunk; safe to repeat.
    void putInput(const JobRecord&, uint32_t chunkNumber, std::string_view lines);
    /// Returns the input lines of the unsplit chunk that contains the item. Throws Error(Internal) if they are missing.
    std::string inputLines(const JobRecord&, uint32_t item);

    static std::string resultObjectName(std::string_view jobId, uint32_t first, uint64_t epoch);
    /// Stores an object; safe to repeat with the same content.
    void putObject(const std::string& name, std::string_view content);
    std::optional<std::string> object(const std::string& name);

private:
    TableService& m_tables;
    ObjectStore& m_objects;
};

}
