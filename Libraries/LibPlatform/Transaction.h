#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Chicorydock {

/// One row of a table. The service raises the version with each write; versions of existing rows are positive.
struct Row {
    std::string key;
    std::string value;
    uint64_t version { 0 };

    auto operator<=>(const Row&) const = default;
};

/// One operation of a transaction.
struct Operation {
    enum class Kind : uint8_t {
        /// Writes the value.
        Put,
        /// Removes the row; removing a missing row succeeds.
        Remove,
        /// Changes nothing, but fails the transaction unless the expected version matches.
        Check,
    };

    Kind kind { Kind::Put };
    std::string table;
    std::string key;
    std::string value;
    /// The version that the row must have; 0 means that it must not exist; nothing means any version.
    std::optional<uint64_t> expectedVersion;

    auto operator<=>(const Operation&) const = default;

    static Operation put(std::string table, std::string key, std::string value, std::optional<uint64_t> expected = {})
    {
        return { Kind::Put, std::move(table), std::move(key), std::move(value), expected };
    }

    static Operation insert(std::string table, std::string key, std::string value)
    {
        return { Kind::Put, std::move(table), std::move(key), std::move(value), 0 };
    }

    static Operation remove(std::string table, std::string key, std::optional<uint64_t> expected = {})
    {
        return { Kind::Remove, std::move(table), std::move(key), {}, expected };
    }

    static Operation check(std::string table, std::string key, uint64_t expected)
    {
        return { Kind::Check, std::move(table), std::move(key), {}, expected };
    }
};

/// Operations that are applied atomically.
using Transaction = std::vector<Operation>;

/// The result of a transaction to which the service responded.
struct CommitResult {
    bool committed { false };
    /// Index of the first operation whose expected version did not match, if not committed.
    size_t conflictingOperation { 0 };
    /// The new version of each row put, in the order of the operations (0 for the others), if committed.
    std::vector<uint64_t> versions;

    auto operator<=>(const CommitResult&) const = default;
};

}
