#include <LibBatch/TableJobService.h>

#include <LibBatch/ItemFile.h>
#include <LibBatch/SegmentFile.h>
#include <LibCore/Digest.h>
#include <LibCore/Error.h>

#include <algorithm>
#include <cassert>

namespace Chicorydock {

namespace {

    constexpr size_t maxIdLength = 128;
    constexpr size_t derivedIdDigits = 32;
    constexpr uint32_t maxResultLines = 10'000;
    constexpr size_t maxListedJobs = 1'000;
    constexpr size_t chunkRowsPerPage = 16;

    /// Ids are parts of keys, so they must not contain a separator.
    void checkId(std::string_view id)
    {
        const auto isAllowed = [](char c) {
            return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_'
                || c == '.';
        };
        if (id.empty() || id.size() > maxIdLength || !std::ranges::all_of(id, isAllowed)) {
            throw Error(
                ErrorKind::MalformedRequest, "a job id has 1 to 128 characters from letters, digits, '-', '_' and '.'");
        }
    }

    std::string digestOf(const JobSubmission& submission)
    {
        return sha256Hex(
            submission.workspace + '\n' + (submission.unrepeatable ? "1" : "0") + '\n' + sha256Hex(submission.items));
    }

    std::string fileName(std::string_view workspace, std::string_view id)
    {
        return "file/" + sha256Hex(workspace) + '/' + std::string(id);
    }

}

TableJobService::TableJobService(
    TableService& tables, ObjectStore& objects, const Clock& clock, Random& random, uint32_t chunkItems)
    : m_store(tables, objects)
    , m_clock(clock)
    , m_random(random)
    , m_chunkItems(chunkItems)
{
    assert(chunkItems > 0);
}

std::string TableJobService::putFile(std::string_view workspace, std::string_view content)
{
    const std::string id
        = "file-" + sha256Hex(std::string(workspace) + '\n' + sha256Hex(content)).substr(0, derivedIdDigits);
    m_store.putObject(fileName(workspace, id), content);
    return id;
}

std::string TableJobService::file(std::string_view workspace, std::string_view id)
{
    checkId(id);
    auto content = m_store.object(fileName(workspace, id));
    if (!content)
        throw Error(ErrorKind::NotFound, "no such file: " + std::string(id));
    return std::move(*content);
}

JobView TableJobService::submit(const JobSubmission& submission)
{
    if (submission.completionWindow <= Milliseconds { 0 })
        throw Error(ErrorKind::MalformedRequest, "the completion window is not positive");
    JobRecord record;
    record.digest = digestOf(submission);
    record.id = submission.id.empty() ? "batch-" + record.digest.substr(0, derivedIdDigits) : submission.id;
    checkId(record.id);
    const auto checkSameDigest = [&](const StoredJob& stored) {
        if (stored.record.digest != record.digest)
            throw Error(ErrorKind::Conflict, "another job has the id " + record.id);
    };
    if (const auto stored = m_store.job(record.id)) {
        checkSameDigest(*stored);
        return viewAfterWrite(stored->record);
    }
    const auto summary = ItemFile::check(submission.items, m_chunkItems);
    record.workspace = submission.workspace;
    record.total = summary.items;
    record.chunkItems = m_chunkItems;
    record.paths = summary.paths;
    record.unrepeatable = submission.unrepeatable;
    record.created = m_clock.wallNow();
    record.deadline = record.created + submission.completionWindow;
    record.writeToken = newWriteToken();
    for (uint32_t n = 0; n < summary.chunks.size(); ++n)
        m_store.putInput(record, n, summary.chunks[n]);
    const StoredJob stored = m_store.insertJob(record);
    checkSameDigest(stored);
    return stored.record.writeToken == record.writeToken ? viewWithoutChunks(stored.record)
                                                         : viewAfterWrite(stored.record);
}

JobView TableJobService::status(std::string_view workspace, std::string_view id)
{
    return view(find(workspace, id).record);
}

JobView TableJobService::cancel(std::string_view workspace, std::string_view id)
{
    while (true) {
        StoredJob stored = find(workspace, id);
        if (!stored.record.isOpen())
            return view(stored.record);
        stored.record.state = JobView::State::Cancelled;
        stored.record.writeToken = newWriteToken();
        if (m_store.endJob(stored.record, stored.version))
            return viewAfterWrite(stored.record);
    }
}

ResultPage TableJobService::results(std::string_view workspace, std::string_view id, uint32_t first, uint32_t limit)
{
    const JobRecord record = find(workspace, id).record;
    ResultPage page;
    page.next = first;
    limit = std::min(limit, maxResultLines);
    // Items of a cancelled job that have no result will never get one, so they are skipped.
    const bool skipsGaps = record.state == JobView::State::Cancelled;
    while (page.lines.size() < limit && page.next < record.total) {
        const auto chunks = m_store.chunkRows(record, page.next, chunkRowsPerPage);
        for (const ChunkRecord& chunk : chunks) {
            if (!appendResults(chunk, record.total, limit, skipsGaps, page))
                return page;
        }
        if (chunks.size() < chunkRowsPerPage)
            break;
    }
    if (skipsGaps && page.lines.size() < limit)
        page.next = record.total;
    page.complete = page.next >= record.total;
    return page;
}

/// Appends the results of one chunk to the page. Returns whether the next chunk may be appended.
bool TableJobService::appendResults(
    const ChunkRecord& chunk, uint32_t total, uint32_t limit, bool skipsGaps, ResultPage& page)
{
    if (chunk.first > page.next && !skipsGaps)
        return false;
    SegmentFile::Lines lines;
    for (const Segment& segment : chunk.segments) {
        const auto content = m_store.object(segment.object);
        if (!content)
            throw Error(ErrorKind::Internal, "the result object " + segment.object + " is missing");
        // Two rows share the object after a split, so only the items that this row lists are used.
        for (auto& [index, line] : SegmentFile::parse(*content)) {
            if (segment.succeeded.contains(index) || segment.failed.contains(index))
                lines.emplace(index, std::move(line));
        }
    }
    for (uint32_t index = std::max(chunk.first, page.next); index < chunk.end(); ++index) {
        if (page.lines.size() == limit)
            return false;
        const auto it = lines.find(index);
        if (it != lines.end())
            page.lines.push_back(std::move(it->second));
        else if (!skipsGaps)
            return false;
        page.next = index + 1;
    }
    page.complete = page.next >= total;
    return true;
}

std::vector<JobView> TableJobService::list(std::string_view workspace, std::string_view after, size_t limit)
{
    std::vector<JobView> views;
    for (const std::string& id : m_store.jobIdsInWorkspace(workspace, after, std::min(limit, maxListedJobs)))
        views.push_back(status(workspace, id));
    return views;
}

StoredJob TableJobService::find(std::string_view workspace, std::string_view id)
{
    auto stored = m_store.job(id);
    if (!stored || (!workspace.empty() && stored->record.workspace != workspace))
        throw Error(ErrorKind::NotFound, "no such job: " + std::string(id));
    return std::move(*stored);
}

JobView TableJobService::viewWithoutChunks(const JobRecord& record)
{
    return { .id = record.id,
        .workspace = record.workspace,
        .state = record.state,
        .total = record.total,
        .completed = record.completed,
        .failed = record.failed,
        .created = record.created,
        .deadline = record.deadline };
}

JobView TableJobService::view(const JobRecord& record)
{
    JobView result = viewWithoutChunks(record);
    if (record.state == JobView::State::Completed)
        return result;
    for (const auto& [first, chunk] : m_store.chunks(record)) {
        result.completed += chunk.record.succeeded();
        result.failed += chunk.record.failed();
    }
    return result;
}

/// Returns the view of a job after its row was written. Errors are reported as OutcomeUnknown, because
/// PlatformUnavailable would mean that nothing was written.
JobView TableJobService::viewAfterWrite(const JobRecord& record)
{
    try {
        return view(record);
    } catch (const Error& error) {
        throw Error(ErrorKind::OutcomeUnknown, "the job was written, but not read back: " + error.message());
    }
}

std::string TableJobService::newWriteToken()
{
    const std::lock_guard guard(m_randomMutex);
    return m_random.identifier();
}

}
