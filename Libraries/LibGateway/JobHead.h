#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/JobTypes.h>
#include <LibPlatform/RowStore.h>

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace Chicorydock {

/// The row of a job. Whoever writes it with the version it read owns the job: results are committed only while that
/// version stands, so a node that lost the job cannot add to it, however late its writes arrive.
struct JobHead {
    enum class State : uint8_t {
        Open,
        /// All items have a result.
        Done,
        /// Its caller ended it.
        Ended,
    };

    std::string id;
    State state { State::Open };
    /// Node that runs the job; empty if any may take it.
    std::string owner;
    std::string route;
    std::string host;
    /// Tokens of all items.
    uint64_t tokens { 0 };
    uint32_t itemCount { 0 };
    /// Time of the store's clock.
    Milliseconds submittedAt { 0 };
    /// Object with the items, if they do not fit rows.
    std::string inputObject;
    /// Version of the row; 0 before it is written.
    uint64_t version { 0 };

    auto operator<=>(const JobHead&) const = default;
};

QByteArray encodeJobHead(const JobHead&);
/// Returns the record of a row, or nothing if it is none.
std::optional<JobHead> decodeJobHead(const StoredRow&);

QByteArray encodeJobItems(const std::vector<JobItem>&);
std::optional<std::vector<JobItem>> decodeJobItems(const QByteArray&);

QByteArray encodeJobProgress(const std::vector<ItemProgress>&);
std::optional<std::vector<ItemProgress>> decodeJobProgress(const QByteArray&);

QByteArray encodeJobResult(const JobResult&);
std::optional<JobResult> decodeJobResult(const QByteArray&);

/// Where the rows of a job stand. The rows of one job are in one partition, so that they change together; jobs are
/// spread over a fixed number of partitions, so that all jobs can be listed with few calls.
namespace JobRows {

    inline const char* const recordTable = "job";
    inline const char* const inputTable = "job_input";
    inline const char* const resultTable = "job_result";
    inline const char* const progressTable = "job_progress";

    std::string partition(const std::string& jobId);
    std::vector<std::string> partitions();
    RowAddress record(const std::string& jobId);

    /// Returns the number or position at the end of a key.
    size_t numberOf(const std::string& key);

    /// Returns the rows of a content, the first under `address` and the rest behind it.
    std::vector<RowWrite> split(const RowAddress& address, const QByteArray& content);

    /// Puts the contents together again; `rows` are in the order of keys. Contents without all their rows are left out.
    std::vector<std::pair<std::string, QByteArray>> join(const std::vector<StoredRow>& rows);

    RowAddress input(const std::string& jobId);
    RowRange inputRange(const std::string& jobId);
    RowAddress progress(const std::string& jobId, size_t number);
    RowRange progressRange(const std::string& jobId);
    RowAddress result(const std::string& jobId, size_t position);
    RowRange resultRange(const std::string& jobId, size_t from);

}

}
