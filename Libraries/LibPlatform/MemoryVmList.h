#pragma once

#include <LibPlatform/VmList.h>

#include <mutex>

namespace Chicorydock {

/// A VM list in memory, for tests and the fake platform.
///
/// Thread safety: all methods may be called from any thread.
class MemoryVmList final : public VmList {
public:
    std::vector<VmEntry> list() override
    {
        const std::lock_guard guard(m_mutex);
        return m_entries;
    }

    void setEntries(std::vector<VmEntry> entries)
    {
        const std::lock_guard guard(m_mutex);
        m_entries = std::move(entries);
    }

private:
    std::mutex m_mutex;
    std::vector<VmEntry> m_entries;
};

}
