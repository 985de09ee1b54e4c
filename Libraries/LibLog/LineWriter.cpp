#include <LibLog/LineWriter.h>

#include <glog/logging.h>

namespace Chicorydock {

LineWriter::LineWriter(size_t capacity, Write write)
    : m_capacity(capacity)
    , m_write(std::move(write))
    , m_thread([this] { run(); })
{
}

LineWriter::~LineWriter()
{
    {
        const std::lock_guard guard(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_one();
    m_thread.join();
}

void LineWriter::push(std::string line)
{
    {
        const std::lock_guard guard(m_mutex);
        if (m_queue.size() >= m_capacity) {
            m_dropped.fetch_add(1, std::memory_order_relaxed);
            return;
        }
        m_queue.push_back(std::move(line));
    }
    m_changed.notify_one();
}

void LineWriter::run()
{
    while (true) {
        std::vector<std::string> lines;
        {
            std::unique_lock lock(m_mutex);
            m_changed.wait(lock, [this] { return m_isStopping || !m_queue.empty(); });
            if (m_queue.empty())
                return;
            lines.swap(m_queue);
        }
        writeLines(lines);
        logNewDrops();
    }
}

void LineWriter::writeLines(const std::vector<std::string>& lines)
{
    std::string text;
    for (const std::string& it : lines)
        text.append(it).push_back('\n');
    if (!m_write(text))
        m_dropped.fetch_add(lines.size(), std::memory_order_relaxed);
}

void LineWriter::logNewDrops()
{
    const uint64_t drops = dropped();
    if (drops == m_loggedDrops)
        return;
    LOG(WARNING) << "dropped lines of the event file because the queue was full or the write failed: "
                 << drops - m_loggedDrops << " new, " << drops << " since start";
    m_loggedDrops = drops;
}

}
