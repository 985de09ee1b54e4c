#include <LibGateway/QuotaGroup.h>

#include <algorithm>

namespace Chicorydock {

namespace {

    /// A lifetime is four intervals between two reports. One lost report leaves an allocator in touch, two do not:
    /// until then, parts that do not hear each other use the same tokens.
    constexpr Milliseconds patienceFor(Milliseconds lifetime) { return lifetime * 7 / 12; }

    /// Time after which a silent allocator is forgotten, so that one that returns counts as silent before, and one that
    /// does not return takes no memory.
    constexpr std::chrono::seconds allocatorMemory { 30 };

    /// Upper limit of the nodes that one allocator can serve; higher numbers in reports are errors.
    constexpr uint32_t maxNodes = 10'000;

}

void QuotaGroup::setOwnNodes(uint32_t nodes) { m_ownNodes = std::max(nodes, 1U); }

bool QuotaGroup::hear(const std::string& allocator, uint32_t nodes, Milliseconds lifetime, MonotonicTime now)
{
    const auto [it, isNew] = m_allocators.try_emplace(allocator);
    const bool wasSilent = isNew || !it->second.isInTouch(now);
    it->second = { std::clamp(nodes, 1U, maxNodes), now, patienceFor(lifetime) };
    return wasSilent;
}

std::vector<std::string> QuotaGroup::update(MonotonicTime now)
{
    std::vector<std::string> forgotten;
    for (const auto& [name, allocator] : m_allocators) {
        if (now - allocator.heardAt > allocatorMemory)
            forgotten.push_back(name);
    }
    for (const std::string& it : forgotten)
        m_allocators.erase(it);
    m_inTouch = m_ownNodes;
    for (const auto& [name, allocator] : m_allocators) {
        if (allocator.isInTouch(now))
            m_inTouch += allocator.nodes;
    }
    return forgotten;
}

uint32_t QuotaGroup::nodesKnown() const { return std::max(m_knownNodes, m_inTouch); }

MonotonicTime QuotaGroup::heardUntil(MonotonicTime now) const
{
    MonotonicTime earliest = now;
    for (const auto& [name, allocator] : m_allocators) {
        if (allocator.isInTouch(now))
            earliest = std::min(earliest, allocator.heardAt);
    }
    return earliest;
}

}
