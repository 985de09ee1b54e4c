#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/JobTypes.h>
#include <LibPlatform/RowStore.h>

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace Chicorydock {

/// The main record of a job, stored in one row. A node acquires the job by writing its name to this row with a
/// compare-and-set on the row's version. Results are committed only while the row has that version, so a node that lost
/// the job cannot add results to it, however late its writes arrive.
struct JobHead {
    enum class State : uint8_t {
        Open,
        /// All items have a result.
        Done,
        /// Cancelled by its caller; stored as "ended".
        Cancelled,
    };

    /// See `JobRows::scopedId()`.
    std::string id;
    State state { State::Open };
    /// Node that runs the job; empty if any node may claim it.
    std::string owner;
    std::string route;
    std::string host;
    /// Sum over all items.
    uint64_t tokens { 0 };
    uint32_t itemCount { 0 };
    /// Time by the store's clock.
    Milliseconds submittedAt { 0 };
    /// Name of the object that holds the items, if they are too large for rows; otherwise empty.
    std::string inputObject;
    /// Version of the row; 0 before it is written.
    uint64_t version { 0 };
    /// Workspace whose keys open the job. Empty for the job of an anonymous caller, and in deployments without
    /// workspaces.
    std::string workspace {};

    auto operator<=>(const JobHead&) const = default;
};

QByteArray encodeJobHead(const JobHead&);
/// Returns the record in the row, or nothing if the row holds no valid record.
std::optional<JobHead> decodeJobHead(const StoredRow&);

QByteArray encodeJobItems(const std::vector<JobItem>&);
std::optional<std::vector<JobItem>> decodeJobItems(const QByteArray&);

QByteArray encodeJobProgress(const std::vector<ItemProgress>&);
std::optional<std::vector<ItemProgress>> decodeJobProgress(const QByteArray&);

QByteArray encodeJobResult(const JobResult&);
std::optional<JobResult> decodeJobResult(const QByteArray&);

/// Addresses of the rows of a job. All rows of one job are in one partition, so that a transaction can change them
/// together. Jobs are spread over a fixed number of partitions, so that listing all jobs takes few calls.
namespace JobRows {

    inline const char* const recordTable = "job";
    inline const char* const inputTable = "job_input";
    inline const char* const resultTable = "job_result";
    inline const char* const progressTable = "job_progress";

    /// Separates the identifier that a caller has given its job from the scope, which follows.
    constexpr char scopeSeparator = '@';

    /// Returns the identifier under which a job of the workspace is stored. Identifiers of different workspaces differ,
    /// as the hashes of their names do, so that nobody can learn of another one's job or occupy its identifier.
    std::string scopedId(const std::string& workspace, const std::string& callerId);

    std::string partition(const std::string& jobId);
    std::vector<std::string> partitions();
    RowAddress record(const std::string& jobId);

    /// Returns the sequence number or position at the end of a key.
    size_t numberOf(const std::string& key);

    /// Splits content into rows of limited size. The first row has the given address, and the keys of the others sort
    /// directly after it.
    std::vector<RowWrite> split(const RowAddress& address, const QByteArray& content);

    /// Reassembles contents from their rows, which must be sorted by key. Stops at the first content with missing
    /// rows. Returns pairs of key and content.
    std::vector<std::pair<std::string, QByteArray>> join(const std::vector<StoredRow>& rows);

    RowAddress input(const std::string& jobId);
    RowRange inputRange(const std::string& jobId);
    RowAddress progress(const std::string& jobId, size_t number);
    RowRange progressRange(const std::string& jobId);
    RowAddress result(const std::string& jobId, size_t position);
    RowRange resultRange(const std::string& jobId, size_t from);

}

}
