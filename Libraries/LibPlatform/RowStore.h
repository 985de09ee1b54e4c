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

/// Where a row stands. Rows of one partition can be changed together.
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
    /// Position of its last change in the order of all changes; 0 means that the row does not exist.
    uint64_t version { 0 };
    /// Whether a change feed reports its removal.
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

/// Rows as of one moment, in the order of keys.
struct RowPage {
    std::vector<StoredRow> rows;
    /// Whether the range goes on behind the last row.
    bool hasMore { false };
    /// Version of the newest change of the whole store.
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

/// Changes of one partition that apply together or not at all.
struct RowTransaction {
    std::vector<RowCondition> conditions;
    std::vector<RowWrite> writes;
    std::vector<RowAddress> removals;

    bool operator==(const RowTransaction&) const = default;
};

/// What became of a transaction.
struct RowCommit {
    bool isCommitted { false };
    /// Version of the rows written, if committed.
    uint64_t version { 0 };
    /// The rows of the conditions as they are, if not committed. Rows that do not exist are left out.
    std::vector<StoredRow> current;

    bool operator==(const RowCommit&) const = default;
};

/// Why a call to the store gave no result.
struct StoreFailure {
    enum class Kind : uint8_t {
        /// The call certainly had no effect.
        NotExecuted,
        /// The call may have had its effect, or may have it later.
        OutcomeUnknown,
        /// The changes asked for are no longer kept.
        HistoryLost,
        NotFound,
    };

    Kind kind { Kind::NotExecuted };
    std::string message;

    bool operator==(const StoreFailure&) const = default;
};

template <typename T> using StoreResult = std::variant<T, StoreFailure>;

/// Number of the largest row value, in bytes, that callers write; larger content is split or goes to an object.
constexpr qsizetype maxRowBytes = 60'000;

/// The platform's store of versioned rows and objects. Calls return at once; their results come later, in any order,
/// on the thread of the caller. Results do not come after the store was destroyed.
///
/// Thread safety: used on the thread that created it.
class RowStore {
public:
    template <typename T> using Reply = std::function<void(StoreResult<T>)>;

    virtual ~RowStore() = default;

    /// Reads a range of rows.
    virtual void read(const RowRange&, Reply<RowPage>) = 0;

    /// Applies a transaction. A transaction whose outcome is unknown may be repeated only if its conditions keep it
    /// from applying twice.
    virtual void commit(const RowTransaction&, Reply<RowCommit>) = 0;

    /// Returns the time of the store's steady clock, or nothing before the first answer. Times of one store can be
    /// compared between nodes.
    virtual std::optional<Milliseconds> time() const = 0;

    /// Waits until rows of the table changed after version `after`, for at most `wait`, and returns them in order.
    virtual void changes(const std::string& table, uint64_t after, Milliseconds wait, Reply<RowPage>) = 0;

    /// Writes an object unless one of that name exists; both count as success.
    virtual void putObject(const std::string& name, const QByteArray& content, Reply<bool>) = 0;

    virtual void getObject(const std::string& name, Reply<QByteArray>) = 0;
};

}
