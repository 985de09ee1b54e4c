#pragma once

#include <LibCore/Error.h>

#include <QJsonObject>

#include <cstdint>
#include <functional>
#include <string>

namespace Chicorydock {

/// One item of a batch job, as a line of its input file gives it.
struct BatchItem {
    std::string jobId;
    std::string workspace;
    /// Position in the job, from 0.
    uint32_t index { 0 };
    /// The caller's own identifier of the item.
    std::string customId;
    /// Path of the request, for example `/v1/chat/completions` or `/services/NAME/...`.
    std::string path;
    QJsonObject body;
    /// Whether the item may run at most once.
    bool unrepeatable { false };
    WallTime deadline;
};

/// The result of one item that ended.
struct ItemResult {
    /// HTTP status that an online caller would have got.
    int status { 200 };
    QJsonObject body;

    bool operator==(const ItemResult&) const = default;
};

/// How an attempt at an item ended.
struct ItemOutcome {
    enum class Kind : uint8_t {
        /// The item has a result, which may be an error that no retry can mend.
        Completed,
        /// The attempt failed in a way that another may not; counts against the item.
        Failed,
        /// The attempt was given up for a reason outside the item (cancelled, no endpoint, shutting down); it does not
        /// count against the item.
        NotRun,
        /// An unrepeatable item was handed to an endpoint, and its outcome cannot be known.
        MayHaveRun,
    };

    Kind kind { Kind::NotRun };
    ItemResult result;
};

/// Runs batch items on endpoints, behind all online work.
///
/// Thread safety: all methods may be called from any thread.
class ItemExecutor {
public:
    virtual ~ItemExecutor() = default;

    using Handle = uint64_t;
    using Callback = std::function<void(const ItemOutcome&)>;

    /// Queues an item. The callback comes exactly once, on any thread, also after `cancel()`.
    virtual Handle execute(const BatchItem&, Callback) = 0;

    /// Gives the item up as soon as possible. Unknown handles are ignored.
    virtual void cancel(Handle) = 0;

    /// Returns how many more items the endpoints of the service of `path` could accept now.
    virtual uint32_t freeCapacity(const std::string& path) const = 0;
};

}
