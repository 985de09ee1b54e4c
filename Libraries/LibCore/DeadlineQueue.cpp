#include <LibCore/DeadlineQueue.h>

namespace Chicorydock {

DeadlineQueue::Id DeadlineQueue::add(MonotonicTime time, std::function<void()> function)
{
    const Id id = ++m_lastId;
    m_functions.emplace(Key { time, id }, std::move(function));
    m_times.emplace(id, time);
    return id;
}

void DeadlineQueue::remove(Id id)
{
    const auto it = m_times.find(id);
    if (it == m_times.end())
        return;
    m_functions.erase(Key { it->second, id });
    m_times.erase(it);
}

void DeadlineQueue::tick(MonotonicTime now)
{
    while (!m_functions.empty() && m_functions.begin()->first.first <= now) {
        auto node = m_functions.extract(m_functions.begin());
        m_times.erase(node.key().second);
        node.mapped()();
    }
}

std::optional<MonotonicTime> DeadlineQueue::next() const
{
    if (m_functions.empty())
        return {};
    return m_functions.begin()->first.first;
}

}
