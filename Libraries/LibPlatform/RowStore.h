#pragma once

#include <LibCore/Clock.h>

#include <QByteArray>

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Chicorydock {

/// The address of a row. Rows of one partition can be changed in one transaction.
struct RowAddress {
    std::string table;
    std::string partition;
    std::string key;

    auto operator<=>(const RowAddress&) const = default;
};

/// A row as the store returned it.
struct StoredRow {
    RowAddress address;
    QByteArray value;
    /// Position of the last change of the row in the order of all changes; 0 means that the row does not exist.
    uint64_t version { 0 };
    /// Whether the row was removed, in the result of a change feed.
    bool isRemoved { false };

    bool operator==(const StoredRow&) const = default;
};

/// Keys from `from` (inclusive) to `until` (exclusive; empty for no end) of one partition.
struct RowRange {
    std::string table;
    std::string partition;
    std::string from;
    std::string until;

    auto operator<=>(const RowRange&) const = default;
};

/// Rows as of one point in time, in the order of keys.
struct RowPage {
    std::vector<StoredRow> rows;
    /// Whether the range has more rows after the last one.
    bool hasMore { false };
    /// Version of the newest change in the store.
    uint64_t storeVersion { 0 };

    bool operator==(const RowPage&) const = default;
};

/// The version that a row must have for a transaction to apply; 0 means that the row must not exist.
struct RowCondition {
    RowAddress row;
    uint64_t version { 0 };

    auto operator<=>(const RowCondition&) const = default;
};

struct RowWrite {
    RowAddress row;
    QByteArray value;

    bool operator==(const RowWrite&) const = default;
};

/// Changes of one partition that are applied atomically.
struct RowTransaction {
    /// The store refuses transactions with more conditions, writes and removals.
    static constexpr size_t maxEntries = 100;

    std::vector<RowCondition> conditions;
    std::vector<RowWrite> writes;
    std::vector<RowAddress> removals;

    size_t entries() const { return conditions.size() + writes.size() + removals.size(); }

    bool operator==(const RowTransaction&) const = default;
};

/// The result of a transaction.
struct RowCommit {
    bool isCommitted { false };
    /// Version of the rows written, if committed.
    uint64_t version { 0 };
    /// The current rows of the conditions, if not committed. Rows that do not exist are omitted.
    std::vector<StoredRow> current;

    bool operator==(const RowCommit&) const = default;
};

/// Why a call to the store returned no result.
struct StoreFailure {
    enum class Kind : uint8_t {
        /// The call certainly had no effect.
        NotExecuted,
        /// The call may have taken effect, or may do so later.
        OutcomeUnknown,
        /// The store no longer keeps the requested changes.
        HistoryLost,
        NotFound,
    };

    Kind kind { Kind::NotExecuted };
    std::string message;

    bool operator==(const StoreFailure&) const = default;
};

template <typename T> using StoreResult = std::variant<T, StoreFailure>;

/// Size of the largest row value that callers write; larger content is split or stored as an object.
constexpr qsizetype maxRowBytes = 60'000;

/// The platform's store of versioned rows and objects. Calls return immediately; their results are delivered later, in
/// any order, on the thread of the caller. No result is delivered after the store was destroyed.
///
/// Thread safety: used on the thread that created it.
class RowStore {
public:
    template <typename T> using Reply = std::function<void(StoreResult<T>)>;

    virtual ~RowStore() = default;

    /// Reads a range of rows.
    virtual void read(const RowRange&, Reply<RowPage>) = 0;

    /// Applies a transaction. A transaction whose outcome is unknown may be retried only if its conditions keep it
    /// from applying twice.
    virtual void commit(const RowTransaction&, Reply<RowCommit>) = 0;

    /// Returns the time of the store's steady clock, or nothing before the first response. Times of one store can
    /// be compared between nodes.
    virtual std::optional<Milliseconds> time() const = 0;

    /// Waits for at most `wait` until rows of the table have changed after version `after`, and returns them in order.
    virtual void changes(const std::string& table, uint64_t after, Milliseconds wait, Reply<RowPage>) = 0;

    /// Writes an object unless one of that name exists; both count as success.
    virtual void putObject(const std::string& name, const QByteArray& content, Reply<bool>) = 0;

    virtual void getObject(const std::string& name, Reply<QByteArray>) = 0;
};

}
