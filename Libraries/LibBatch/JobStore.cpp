#include <LibBatch/JobStore.h>

#include <LibCore/Error.h>

#include <QByteArray>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace Chicorydock {

namespace {

    constexpr size_t scanPageSize = 1'000;
    constexpr int maxWriteAttempts = 3;

    const std::string jobsTable = "jobs";
    const std::string openJobsTable = "open_jobs";
    const std::string workspaceJobsTable = "workspace_jobs";
    const std::string chunksTable = "chunks";
    const std::string intentsTable = "intents";

    /// Pads a number with zeros so that keys sort numerically.
    std::string padded(uint64_t number, int digits)
    {
        std::array<char, 32> buf {};
        std::snprintf(buf.data(), buf.size(), "%0*llu", digits, static_cast<unsigned long long>(number));
        return buf.data();
    }

    std::string itemKey(std::string_view jobId, uint32_t item) { return std::string(jobId) + '/' + padded(item, 8); }

    /// Returns a key that sorts directly before that of the item, for scans that start at the item.
    std::string keyBefore(std::string_view jobId, uint32_t item)
    {
        return item == 0 ? std::string(jobId) + '/' : itemKey(jobId, item - 1);
    }

    uint32_t itemFromKey(std::string_view key)
    {
        const std::string_view digits = key.substr(key.rfind('/') + 1);
        uint32_t item = 0;
        std::from_chars(digits.data(), digits.data() + digits.size(), item);
        return item;
    }

    /// Encodes a workspace so that no other workspace's keys have the same prefix.
    std::string workspacePrefix(std::string_view workspace)
    {
        return QByteArray(workspace.data(), static_cast<qsizetype>(workspace.size())).toPercentEncoding().toStdString()
            + '/';
    }

    std::string inputObjectName(const JobRecord& record, uint32_t chunkNumber)
    {
        return "input/" + record.digest + '-' + std::to_string(record.chunkItems) + '/' + padded(chunkNumber, 8);
    }

    /// Reads back a row after a write with an unknown outcome. If the read fails, the outcome remains unknown:
    /// PlatformUnavailable would mean that the write had no effect.
    template <typename Function> auto readBack(Function function)
    {
        try {
            return function();
        } catch (const Error& error) {
            throw Error(ErrorKind::OutcomeUnknown, "a write could not be read back: " + error.message());
        }
    }

    StoredChunk fromRow(const Row& row) { return { ChunkRecord::parse(row.value), row.version }; }

}

std::optional<StoredJob> JobStore::job(std::string_view id)
{
    const auto row = m_tables.get(jobsTable, id);
    if (!row)
        return {};
    return StoredJob { JobRecord::parse(row->value), row->version };
}

StoredJob JobStore::insertJob(const JobRecord& record)
{
    const std::string text = record.serialize();
    const Transaction transaction { Operation::insert(jobsTable, record.id, text),
        Operation::put(openJobsTable, openJobKey(record), text),
        Operation::put(workspaceJobsTable, workspacePrefix(record.workspace) + record.id, {}) };
    for (int attempt = 1;; ++attempt) {
        try {
            const CommitResult result = m_tables.commit(transaction);
            if (result.committed)
                return { record, result.versions[0] };
        } catch (const Error& error) {
            if (error.kind() != ErrorKind::OutcomeUnknown)
                throw;
        }
        // Either the job exists already, or the response was lost; the stored row shows which.
        if (auto stored = readBack([&] { return job(record.id); }))
            return *stored;
        if (attempt == maxWriteAttempts)
            throw Error(ErrorKind::OutcomeUnknown, "the job row could not be written");
    }
}

bool JobStore::endJob(const JobRecord& record, uint64_t version)
{
    const Transaction transaction { Operation::put(jobsTable, record.id, record.serialize(), version),
        Operation::remove(openJobsTable, openJobKey(record)) };
    for (int attempt = 1;; ++attempt) {
        try {
            return m_tables.commit(transaction).committed;
        } catch (const Error& error) {
            if (error.kind() != ErrorKind::OutcomeUnknown)
                throw;
        }
        const auto stored = readBack([&] { return job(record.id); });
        if (!stored || stored->version != version)
            return stored && stored->record.writeToken == record.writeToken;
        if (attempt == maxWriteAttempts)
            throw Error(ErrorKind::OutcomeUnknown, "the job row could not be written");
    }
}

std::vector<JobRecord> JobStore::openJobs(std::string& cursor, size_t limit)
{
    std::vector<JobRecord> records;
    for (const Row& row : m_tables.scan(openJobsTable, {}, cursor, limit)) {
        records.push_back(JobRecord::parse(row.value));
        cursor = row.key;
    }
    return records;
}

std::string JobStore::openJobKey(const JobRecord& record)
{
    const auto deadline = static_cast<uint64_t>(std::max<int64_t>(0, toUnixMilliseconds(record.deadline)));
    return padded(deadline, 16) + '/' + record.id;
}

std::vector<std::string> JobStore::jobIdsInWorkspace(std::string_view workspace, std::string_view after, size_t limit)
{
    const std::string prefix = workspacePrefix(workspace);
    std::vector<std::string> ids;
    for (const Row& row : m_tables.scan(workspaceJobsTable, prefix, prefix + std::string(after), limit))
        ids.push_back(row.key.substr(prefix.size()));
    return ids;
}

ChunkMap JobStore::chunks(const JobRecord& record)
{
    ChunkMap chunks;
    for (uint32_t first = 0; first < record.total; first += record.chunkItems) {
        StoredChunk& chunk = chunks[first];
        chunk.record.first = first;
        chunk.record.count = std::min(record.chunkItems, record.total - first);
    }
    const std::string prefix = record.id + '/';
    std::string after;
    while (true) {
        const auto rows = m_tables.scan(chunksTable, prefix, after, scanPageSize);
        for (const Row& row : rows)
            chunks[itemFromKey(row.key)] = fromRow(row);
        if (rows.size() < scanPageSize)
            return chunks;
        after = rows.back().key;
    }
}

std::vector<ChunkRecord> JobStore::chunkRows(const JobRecord& record, uint32_t first, size_t limit)
{
    // The rows of the parts of a split chunk lie between those of unsplit chunks, so the row that contains the item may
    // be any row from the start of the unsplit chunk onwards.
    std::string after = keyBefore(record.id, first / record.chunkItems * record.chunkItems);
    std::vector<ChunkRecord> records;
    while (records.size() < limit) {
        const auto rows = m_tables.scan(chunksTable, record.id + '/', after, limit);
        for (const Row& row : rows) {
            ChunkRecord chunk = ChunkRecord::parse(row.value);
            if (chunk.end() > first)
                records.push_back(std::move(chunk));
        }
        if (rows.size() < limit)
            break;
        after = rows.back().key;
    }
    return records;
}

std::optional<StoredChunk> JobStore::chunk(std::string_view jobId, uint32_t first)
{
    const auto row = m_tables.get(chunksTable, itemKey(jobId, first));
    return row ? std::optional(fromRow(*row)) : std::nullopt;
}

WriteResult JobStore::writeChunk(
    const StoredJob& job, const ChunkRecord& record, uint64_t version, const std::vector<uint32_t>& intentsToRemove)
{
    const std::string& jobId = job.record.id;
    Transaction transaction { Operation::put(chunksTable, itemKey(jobId, record.first), record.serialize(), version),
        Operation::check(jobsTable, jobId, job.version) };
    for (const uint32_t item : intentsToRemove)
        transaction.push_back(Operation::remove(intentsTable, itemKey(jobId, item)));
    for (int attempt = 1;; ++attempt) {
        std::optional<CommitResult> result;
        try {
            result = m_tables.commit(transaction);
        } catch (const Error& error) {
            if (error.kind() != ErrorKind::OutcomeUnknown)
                throw;
        }
        if (result && result->committed)
            return { WriteResult::Kind::Applied, result->versions[0] };
        // An earlier attempt with this token may have taken effect, even if this one was rejected.
        const auto stored = readBack([&] { return chunk(jobId, record.first); });
        if (stored && stored->record.writeToken == record.writeToken)
            return { WriteResult::Kind::Applied, stored->version };
        if (result)
            return { result->conflictingOperation == 0 ? WriteResult::Kind::ChunkChanged : WriteResult::Kind::JobEnded,
                0 };
        if ((stored ? stored->version : 0) != version)
            return { WriteResult::Kind::ChunkChanged, 0 };
        if (attempt == maxWriteAttempts)
            throw Error(ErrorKind::OutcomeUnknown, "the chunk row could not be written");
    }
}

WriteResult JobStore::splitChunk(const StoredJob& job, const StoredChunk& chunk, const std::string& writeToken)
{
    const auto makeHalf = [&](uint32_t first, uint32_t end) {
        ChunkRecord record;
        record.first = first;
        record.count = end - first;
        record.epoch = chunk.record.epoch + 1;
        record.isSplit = true;
        record.writeToken = writeToken;
        for (const Segment& segment : chunk.record.segments) {
            Segment restricted { segment.object, segment.succeeded.restrictedTo(first, end),
                segment.failed.restrictedTo(first, end) };
            if (!restricted.succeeded.isEmpty() || !restricted.failed.isEmpty())
                record.segments.push_back(std::move(restricted));
        }
        return record;
    };
    const uint32_t middle = chunk.record.first + chunk.record.count / 2;
    const ChunkRecord low = makeHalf(chunk.record.first, middle);
    const ChunkRecord high = makeHalf(middle, chunk.record.end());
    const std::string& jobId = job.record.id;
    try {
        const CommitResult result
            = m_tables.commit({ Operation::put(chunksTable, itemKey(jobId, low.first), low.serialize(), chunk.version),
                Operation::check(jobsTable, jobId, job.version),
                Operation::insert(chunksTable, itemKey(jobId, high.first), high.serialize()) });
        if (!result.committed)
            return { result.conflictingOperation == 1 ? WriteResult::Kind::JobEnded : WriteResult::Kind::ChunkChanged,
                0 };
        return { WriteResult::Kind::Applied, result.versions[0] };
    } catch (const Error& error) {
        if (error.kind() != ErrorKind::OutcomeUnknown)
            throw;
    }
    // Both halves are unclaimed, so it does not matter which node wrote them; the next scan finds them.
    return { WriteResult::Kind::ChunkChanged, 0 };
}

CommitResult JobStore::renewChunks(const std::vector<std::pair<std::string, StoredChunk>>& jobIdsAndChunks)
{
    Transaction transaction;
    for (const auto& [jobId, chunk] : jobIdsAndChunks) {
        transaction.push_back(
            Operation::put(chunksTable, itemKey(jobId, chunk.record.first), chunk.record.serialize(), chunk.version));
    }
    return m_tables.commit(transaction);
}

bool JobStore::insertIntents(std::string_view jobId, uint32_t chunkFirst, uint64_t version,
    const std::vector<uint32_t>& items, const std::string& claimToken)
{
    Transaction transaction { Operation::check(chunksTable, itemKey(jobId, chunkFirst), version) };
    for (const uint32_t item : items)
        transaction.push_back(Operation::insert(intentsTable, itemKey(jobId, item), claimToken));
    return m_tables.commit(transaction).committed;
}

std::map<uint32_t, std::string> JobStore::intents(std::string_view jobId, uint32_t first, uint32_t count)
{
    std::map<uint32_t, std::string> claimTokens;
    for (const Row& row : m_tables.scan(intentsTable, std::string(jobId) + '/', keyBefore(jobId, first), count)) {
        const uint32_t item = itemFromKey(row.key);
        if (item < first + count)
            claimTokens.emplace(item, row.value);
    }
    return claimTokens;
}

void JobStore::putInput(const JobRecord& record, uint32_t chunkNumber, std::string_view lines)
{
    putObject(inputObjectName(record, chunkNumber), lines);
}

std::string JobStore::inputLines(const JobRecord& record, uint32_t item)
{
    const std::string name = inputObjectName(record, item / record.chunkItems);
    auto content = m_objects.get(name);
    if (!content)
        throw Error(ErrorKind::Internal, "the input object " + name + " of job " + record.id + " is missing");
    return std::move(*content);
}

std::string JobStore::resultObjectName(std::string_view jobId, uint32_t first, uint64_t epoch)
{
    return "result/" + itemKey(jobId, first) + '/' + std::to_string(epoch);
}

void JobStore::putObject(const std::string& name, std::string_view content)
{
    for (int attempt = 1;; ++attempt) {
        try {
            return m_objects.put(name, content);
        } catch (const Error& error) {
            if (error.kind() != ErrorKind::OutcomeUnknown || attempt == maxWriteAttempts)
                throw;
        }
    }
}

std::optional<std::string> JobStore::object(const std::string& name) { return m_objects.get(name); }

}
