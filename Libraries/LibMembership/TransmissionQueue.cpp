#include <LibMembership/TransmissionQueue.h>

namespace Chicorydock {

namespace {

    // Bounds the work per message while thousands of records are queued.
    constexpr size_t maxExamined = 64;

}

void TransmissionQueue::add(const std::string& key)
{
    remove(key);
    m_counts.emplace(key, 0);
    m_order.emplace(0, key);
}

void TransmissionQueue::remove(const std::string& key)
{
    const auto it = m_counts.find(key);
    if (it == m_counts.end())
        return;
    m_order.erase({ it->second, key });
    m_counts.erase(it);
}

std::vector<std::string> TransmissionQueue::selectForTransmission(
    size_t& bytes, const SizeFunction& sizeOf, const LimitFunction& limitOf, size_t maxKeys)
{
    std::vector<std::string> selected;
    std::vector<std::string> obsolete;
    size_t examined = 0;
    for (const auto& [count, key] : m_order) {
        if (selected.size() >= maxKeys || ++examined > maxExamined)
            break;
        const size_t size = sizeOf(key);
        // Larger items wait for a message with more free space, and do not block the smaller ones behind them.
        if (size > bytes)
            continue;
        bytes -= size;
        (size == 0 ? obsolete : selected).push_back(key);
    }
    for (const std::string& it : obsolete)
        remove(it);
    for (const std::string& it : selected) {
        const uint32_t count = m_counts.at(it) + 1;
        remove(it);
        if (count >= limitOf(it))
            continue;
        m_counts.emplace(it, count);
        m_order.emplace(count, it);
    }
    return selected;
}

}
