#include <LibPlatform/MemoryObjectStore.h>

#include <LibCore/Error.h>

namespace Chicorydock {

void MemoryObjectStore::put(std::string_view name, std::string_view content)
{
    const std::lock_guard guard(m_mutex);
    ++m_writes;
    const auto [it, inserted] = m_objects.try_emplace(std::string(name), content);
    if (!inserted && it->second != content)
        throw Error(ErrorKind::Conflict, "object " + std::string(name) + " exists with other content");
}

std::optional<std::string> MemoryObjectStore::get(std::string_view name)
{
    const std::lock_guard guard(m_mutex);
    ++m_reads;
    const auto it = m_objects.find(name);
    return it == m_objects.end() ? std::nullopt : std::optional(it->second);
}

void MemoryObjectStore::remove(std::string_view name)
{
    const std::lock_guard guard(m_mutex);
    ++m_writes;
    const auto it = m_objects.find(name);
    if (it != m_objects.end())
        m_objects.erase(it);
}

uint64_t MemoryObjectStore::reads() const
{
    const std::lock_guard guard(m_mutex);
    return m_reads;
}

uint64_t MemoryObjectStore::writes() const
{
    const std::lock_guard guard(m_mutex);
    return m_writes;
}

}
