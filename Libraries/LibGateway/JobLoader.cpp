#include <LibGateway/JobLoader.h>

#include <memory>

namespace Chicorydock::JobLoader {

namespace {

    const StoreFailure unreadable { StoreFailure::Kind::NotDone, "the rows of the job cannot be read" };

    /// Reads a range that may take several calls.
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

    void loadProgress(
        RowStore& store, const std::string& jobId, std::function<void(StoreResult<std::vector<ItemProgress>>)> reply)
    {
        readAll(
            store, JobRows::progressRange(jobId), {}, [reply = std::move(reply)](const StoreResult<RowPage>& result) {
                const auto* page = std::get_if<RowPage>(&result);
                if (!page) {
                    reply(std::get<StoreFailure>(result));
                    return;
                }
                const auto contents = JobRows::join(page->rows);
                // Progress that cannot be read is no loss: the items start again.
                reply(contents.empty()
                        ? std::vector<ItemProgress>()
                        : decodeJobProgress(contents.front().second).value_or(std::vector<ItemProgress>()));
            });
    }

    /// Reads all results, in several calls if need be.
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
            loadProgress(store, record.id, [reply, content](StoreResult<std::vector<ItemProgress>> progress) {
                if (auto* failure = std::get_if<StoreFailure>(&progress)) {
                    reply(*failure);
                    return;
                }
                content->progress = std::move(std::get<std::vector<ItemProgress>>(progress));
                reply(std::move(*content));
            });
        });
    });
}

}
