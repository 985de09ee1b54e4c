#include <LibMembership/TransmissionQueue.h>

namespace Chicorydock {

namespace {

    // Bounds the work per message while thousands of records wait.
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

std::vector<std::string> TransmissionQueue::take(
    size_t& bytes, const SizeFunction& sizeOf, const LimitFunction& limitOf, size_t maxKeys)
{
    std::vector<std::string> taken;
    std::vector<std::string> gone;
    size_t examined = 0;
    for (const auto& [count, key] : m_order) {
        if (taken.size() >= maxKeys || ++examined > maxExamined)
            break;
        const size_t size = sizeOf(key);
        // Larger keys wait for a message with more room, and do not hold up the smaller ones behind them.
        if (size > bytes)
            continue;
        bytes -= size;
        (size == 0 ? gone : taken).push_back(key);
    }
    for (const std::string& it : gone)
        remove(it);
    for (const std::string& it : taken) {
        const uint32_t count = m_counts.at(it) + 1;
        remove(it);
        if (count >= limitOf(it))
            continue;
        m_counts.emplace(it, count);
        m_order.emplace(count, it);
    }
    return taken;
}

}
