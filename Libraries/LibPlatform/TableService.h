#pragma once

#include <LibPlatform/Transaction.h>

#include <string_view>

namespace Chicorydock {

/// The platform's transactional table service.
///
/// Thread safety: all methods may be called from any thread; they block until the service responds or the
/// implementation's timeout expires, so they are never called on an I/O thread.
class TableService {
public:
    virtual ~TableService() = default;

    /// Returns the row, or nothing if there is none. Throws Error(PlatformUnavailable).
    virtual std::optional<Row> get(std::string_view table, std::string_view key) = 0;

    /// Returns up to `limit` rows whose keys start with `prefix` and are greater than `after`, in the order of keys.
    /// Throws Error(PlatformUnavailable).
    virtual std::vector<Row> scan(std::string_view table, std::string_view prefix, std::string_view after, size_t limit)
        = 0;

    /// Applies the transaction. A failed condition is a result, not an error.
    /// Throws Error(PlatformUnavailable) if it certainly did not take effect, Error(OutcomeUnknown) if it may have.
    virtual CommitResult commit(const Transaction&) = 0;
};

}
