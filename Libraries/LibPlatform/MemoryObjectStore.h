#pragma once

#include <LibPlatform/ObjectStore.h>

#include <cstdint>
#include <map>
#include <mutex>

namespace Chicorydock {

/// An object store in memory, for tests, benchmarks and the fake platform.
///
/// Thread safety: all methods may be called from any thread.
class MemoryObjectStore final : public ObjectStore {
public:
    void put(std::string_view name, std::string_view content) override;
    std::optional<std::string> get(std::string_view name) override;
    void remove(std::string_view name) override;

    /// Returns the number of calls of `get()`.
    uint64_t reads() const;
    /// Returns the number of calls of `put()` and `remove()`.
    uint64_t writes() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::string, std::less<>> m_objects;
    uint64_t m_reads { 0 };
    uint64_t m_writes { 0 };
};

}
