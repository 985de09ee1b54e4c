#include <LibGateway/JobLoader.h>

#include <algorithm>
#include <memory>
#include <optional>

namespace Chicorydock::JobLoader {

namespace {

    const StoreFailure unreadable { StoreFailure::Kind::NotExecuted,
        "the rows of the job are incomplete or malformed" };

    /// Reads all pages of a range and appends them to `rows`.
    void readAll(RowStore& store, const RowRange& range, std::vector<StoredRow> rows, RowStore::Reply<RowPage> reply)
    {
        store.read(range,
            [&store, range, rows = std::move(rows), reply = std::move(reply)](
                const StoreResult<RowPage>& result) mutable {
                const auto* page = std::get_if<RowPage>(&result);
                if (!page) {
                    reply(std::get<StoreFailure>(result));
                    return;
                }
                rows.insert(rows.end(), page->rows.begin(), page->rows.end());
                if (!page->hasMore || page->rows.empty()) {
                    reply(RowPage { std::move(rows), false, page->storeVersion });
                    return;
                }
                RowRange rest = range;
                rest.from = page->rows.back().address.key + '\0';
                readAll(store, rest, std::move(rows), std::move(reply));
            });
    }

    std::vector<JobResult> decodeResults(const std::vector<StoredRow>& rows)
    {
        std::vector<JobResult> results;
        for (const auto& [key, content] : JobRows::join(rows)) {
            auto result = decodeJobResult(content);
            if (!result)
                break;
            results.push_back(std::move(*result));
        }
        return results;
    }

    /// Appends a checkpoint to the progress of its item. A checkpoint after a gap is ignored: the events in between
    /// were not stored, so the item resumes before the gap. One that begins with the first event replaces the progress,
    /// because the item was started anew.
    void addProgress(std::vector<ItemProgress>& items, ItemProgress part)
    {
        const auto it = std::ranges::find(items, part.itemId, &ItemProgress::itemId);
        if (it == items.end()) {
            if (part.fromEventId == 0)
                items.push_back(std::move(part));
            return;
        }
        part.failedRuns = std::max(part.failedRuns, it->failedRuns);
        it->failedRuns = part.failedRuns;
        if (part.fromEventId == 0) {
            *it = std::move(part);
            return;
        }
        if (it->lastEventId != part.fromEventId || it->origin != part.origin)
            return;
        it->lastEventId = part.lastEventId;
        it->output += part.output;
    }

    /// Reads the checkpoints of the items into `content`.
    void loadProgress(RowStore& store, const std::string& jobId, const std::shared_ptr<JobContent>& content,
        std::function<void(std::optional<StoreFailure>)> reply)
    {
        readAll(store, JobRows::progressRange(jobId), {},
            [content, reply = std::move(reply)](const StoreResult<RowPage>& result) {
                const auto* page = std::get_if<RowPage>(&result);
                if (!page) {
                    reply(std::get<StoreFailure>(result));
                    return;
                }
                for (const auto& [key, bytes] : JobRows::join(page->rows)) {
                    content->nextProgress = JobRows::numberOf(key) + 1;
                    // Ignoring a malformed checkpoint is safe: its items resume at an earlier event.
                    for (ItemProgress& it : decodeJobProgress(bytes).value_or(std::vector<ItemProgress>()))
                        addProgress(content->progress, std::move(it));
                }
                reply({});
            });
    }

    /// Reads all results, page by page.
    void loadAllResults(
        RowStore& store, const std::string& jobId, std::function<void(StoreResult<std::vector<JobResult>>)> reply)
    {
        readAll(
            store, JobRows::resultRange(jobId, 0), {}, [reply = std::move(reply)](const StoreResult<RowPage>& result) {
                if (const auto* page = std::get_if<RowPage>(&result))
                    reply(decodeResults(page->rows));
                else
                    reply(std::get<StoreFailure>(result));
            });
    }

}

void loadItems(RowStore& store, const JobHead& record, std::function<void(StoreResult<std::vector<JobItem>>)> reply)
{
    const auto decode = [reply](const QByteArray& content) {
        if (auto items = decodeJobItems(content))
            reply(std::move(*items));
        else
            reply(unreadable);
    };
    if (!record.inputObject.empty()) {
        store.getObject(record.inputObject, [reply, decode](const StoreResult<QByteArray>& result) {
            if (const auto* content = std::get_if<QByteArray>(&result))
                decode(*content);
            else
                reply(std::get<StoreFailure>(result));
        });
        return;
    }
    readAll(store, JobRows::inputRange(record.id), {}, [reply, decode](const StoreResult<RowPage>& result) {
        const auto* page = std::get_if<RowPage>(&result);
        if (!page) {
            reply(std::get<StoreFailure>(result));
            return;
        }
        const auto contents = JobRows::join(page->rows);
        if (contents.empty())
            reply(unreadable);
        else
            decode(contents.front().second);
    });
}

void loadResults(RowStore& store, const std::string& jobId, size_t from,
    std::function<void(StoreResult<std::vector<JobResult>>)> reply)
{
    store.read(JobRows::resultRange(jobId, from), [reply = std::move(reply)](const StoreResult<RowPage>& result) {
        if (const auto* page = std::get_if<RowPage>(&result))
            reply(decodeResults(page->rows));
        else
            reply(std::get<StoreFailure>(result));
    });
}

void loadAll(RowStore& store, const JobHead& record, std::function<void(StoreResult<JobContent>)> reply)
{
    loadItems(store, record, [&store, record, reply](StoreResult<std::vector<JobItem>> items) {
        if (auto* failure = std::get_if<StoreFailure>(&items)) {
            reply(*failure);
            return;
        }
        auto content = std::make_shared<JobContent>();
        content->items = std::move(std::get<std::vector<JobItem>>(items));
        loadAllResults(store, record.id, [&store, record, reply, content](StoreResult<std::vector<JobResult>> results) {
            if (auto* failure = std::get_if<StoreFailure>(&results)) {
                reply(*failure);
                return;
            }
            content->results = std::move(std::get<std::vector<JobResult>>(results));
            loadProgress(store, record.id, content, [reply, content](const std::optional<StoreFailure>& failure) {
                if (failure)
                    reply(*failure);
                else
                    reply(std::move(*content));
            });
        });
    });
}

}
