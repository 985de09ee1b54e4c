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

/// The chunks of a job, by the index of their first item. Chunks that were never claimed are included.
using ChunkMap = std::map<uint32_t, StoredChunk>;

/// What became of a conditional write.
struct WriteResult {
    enum class Kind : uint8_t {
        Applied,
        /// The chunk is no longer in the expected state.
        ChunkChanged,
        /// The job has ended.
        JobEnded,
    };

    Kind kind { Kind::Applied };
    /// The new version of the row, if applied.
    uint64_t version { 0 };
};

/// The durable state of batch jobs and the transactions on it.
///
/// Tables: `jobs` (row ID), `open_jobs` (row DEADLINE/ID, only jobs in progress, ordered by deadline), `workspace_jobs`
/// (row WORKSPACE/ID), `chunks` (row JOB/FIRST), `intents` (row JOB/ITEM). Objects: `input/DIGEST-SIZE/CHUNK`,
/// `result/JOB/FIRST/EPOCH`, `file/WORKSPACE/ID`.
///
/// Every write carries a writer token in its row. After a lost response the row is read back: the token tells whether
/// the write took effect. All methods throw Error(PlatformUnavailable); those that write also throw
/// Error(OutcomeUnknown) if the row could not be read back. Repeating a write with the same token is safe.
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

    /// Inserts a job unless there is one with that id; returns the job that is stored now.
    StoredJob insertJob(const JobRecord&);

    /// Ends an open job with the state and counts of `record`; returns whether it took effect. The record's writer
    /// token has to be new.
    bool endJob(const JobRecord& record, uint64_t version);

    /// Returns open jobs in the order of their deadlines, from the one after `cursor` on, and moves the cursor. Only
    /// `id`, `workspace`, `total`, `chunkItems`, `paths`, `unrepeatable` and `deadline` are set.
    std::vector<JobRecord> openJobs(std::string& cursor, size_t limit);

    /// Returns the key of the job in the order of `openJobs()`.
    static std::string openKey(const JobRecord&);

    std::vector<std::string> jobsOfWorkspace(std::string_view workspace, std::string_view after, size_t limit);

    /// Returns all chunks of the job; reads one page of rows per 1,000 chunks that were claimed at least once.
    ChunkMap chunks(const JobRecord&);

    /// Returns the chunk rows of the job that hold items from index `first` on: at least `limit` rows unless there are
    /// fewer. Precondition: `limit` is positive.
    std::vector<ChunkRecord> chunkRows(const JobRecord&, uint32_t first, size_t limit);

    std::optional<StoredChunk> chunk(std::string_view jobId, uint32_t first);

    /// Writes a chunk whose row has the given version (0: none) if the job is still open at its version.
    /// `intentsToRemove` are items whose intent records go with the same transaction.
    WriteResult writeChunk(
        const StoredJob&, const ChunkRecord&, uint64_t version, const std::vector<uint32_t>& intentsToRemove = {});

    /// Replaces a chunk by its two halves; returns whether it took effect.
    WriteResult splitChunk(const StoredJob&, const StoredChunk&, const std::string& writer);

    /// Writes several chunks in one transaction without regard to their jobs. Returns the new versions, or the position
    /// of the first chunk that has changed. Does not resolve unknown outcomes.
    CommitResult renewChunks(const std::vector<std::pair<std::string, StoredChunk>>& jobIdsAndChunks);

    /// Inserts intent records for items of a chunk that still has the given version. Returns false if the chunk has
    /// changed or one of the items has a record of another writer.
    bool insertIntents(std::string_view jobId, uint32_t chunkFirst, uint64_t version,
        const std::vector<uint32_t>& items, const std::string& writer);

    /// Returns the writer of the intent record of each item in the range that has one.
    std::map<uint32_t, std::string> intents(std::string_view jobId, uint32_t first, uint32_t count);

    /// Stores the lines of one chunk of the input; safe to repeat.
    void putInput(const JobRecord&, uint32_t chunkNumber, std::string_view lines);
    /// Returns the lines of the input chunk that contains the item. Throws Error(Internal) if it is missing.
    std::string inputOf(const JobRecord&, uint32_t item);

    static std::string resultName(std::string_view jobId, uint32_t first, uint64_t epoch);
    /// Stores an object; safe to repeat with the same content.
    void putObject(const std::string& name, std::string_view content);
    std::optional<std::string> object(const std::string& name);

private:
    TableService& m_tables;
    ObjectStore& m_objects;
};

}
