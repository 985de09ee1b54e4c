#pragma once

#include <LibCore/Error.h>

#include <QJsonObject>

#include <cstdint>
#include <functional>
#include <string>

namespace Chicorydock {

/// One item of a batch job, parsed from a line of its input file.
struct BatchItem {
    std::string jobId;
    std::string workspace;
    /// Zero-based position in the job.
    uint32_t index { 0 };
    /// The identifier that the caller gave the item.
    std::string customId;
    /// Path of the request, for example `/v1/chat/completions` or `/services/NAME/...`.
    std::string path;
    QJsonObject body;
    /// Whether the item may run at most once.
    bool unrepeatable { false };
    WallTime deadline;
};

/// The result of an item that has ended.
struct ItemResult {
    /// HTTP status that an online request would have received.
    int status { 200 };
    QJsonObject body;

    bool operator==(const ItemResult&) const = default;
};

/// How an attempt at an item ended.
struct ItemOutcome {
    enum class Kind : uint8_t {
        /// The item has a result, which may be an error that a retry cannot fix.
        Completed,
        /// The attempt failed, but a retry may succeed. It counts towards the item's attempts.
        Failed,
        /// The attempt was abandoned for a reason unrelated to the item (cancelled, no endpoint, shutting down). It
        /// does not count towards the item's attempts.
        NotRun,
        /// An unrepeatable item was sent to an endpoint, and its outcome is unknown.
        MayHaveRun,
    };

    Kind kind { Kind::NotRun };
    ItemResult result;
};

/// Runs batch items on endpoints, at a lower priority than all online requests.
///
/// Thread safety: all methods may be called from any thread.
class ItemExecutor {
public:
    virtual ~ItemExecutor() = default;

    using Handle = uint64_t;
    using Callback = std::function<void(const ItemOutcome&)>;

    /// Queues an item. The callback is called exactly once, on any thread, even after `cancel()`.
    virtual Handle execute(const BatchItem&, Callback) = 0;

    /// Cancels the item as soon as possible. Unknown handles are ignored.
    virtual void cancel(Handle) = 0;

    /// Returns how many more items the endpoints of the service of `path` could accept now.
    virtual uint32_t freeCapacity(const std::string& path) const = 0;
};

}
