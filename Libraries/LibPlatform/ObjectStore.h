#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Chicorydock {

/// The platform's object store. Objects are written once and never change.
///
/// Thread safety: all methods may be called from any thread; they block like those of `TableService`.
class ObjectStore {
public:
    virtual ~ObjectStore() = default;

    /// Stores an object. Storing the same content again succeeds; storing other content under an existing name throws
    /// Error(Conflict). Throws Error(PlatformUnavailable) or Error(OutcomeUnknown); repeating the call is safe.
    virtual void put(std::string_view name, std::string_view content) = 0;

    /// Returns the content, or nothing if there is no such object. Throws Error(PlatformUnavailable).
    virtual std::optional<std::string> get(std::string_view name) = 0;

    /// Removes the object; removing a missing one succeeds. Throws Error(PlatformUnavailable) or
    /// Error(OutcomeUnknown); repeating the call is safe.
    virtual void remove(std::string_view name) = 0;
};

}
