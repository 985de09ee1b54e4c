#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace Chicorydock {

/// Writes lines from a bounded queue on its own thread. A line is dropped and counted if the queue is full or the write
/// fails, and drops are logged; a slow disk must not delay the thread that pushes a line.
///
/// Thread safety: all methods may be called from any thread.
class LineWriter {
public:
    /// Writes one or more complete lines and returns whether that succeeded. Called on the writer's thread.
    using Write = std::function<bool(std::string_view)>;

    LineWriter(size_t capacity, Write write);

    /// Writes the lines that are still queued.
    ~LineWriter();

    LineWriter(const LineWriter&) = delete;
    LineWriter& operator=(const LineWriter&) = delete;

    /// Queues a line (without line break). Never waits for a write to finish.
    void push(std::string line);

    /// Returns the number of lines dropped so far.
    uint64_t dropped() const { return m_dropped.load(std::memory_order_relaxed); }

private:
    void run();
    void writeLines(const std::vector<std::string>&);
    void logNewDrops();

    const size_t m_capacity;
    const Write m_write;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::string> m_queue;
    bool m_isStopping { false };
    std::atomic<uint64_t> m_dropped { 0 };
    /// Number of drops already logged; used by the writer's thread only.
    uint64_t m_loggedDrops { 0 };
    std::thread m_thread;
};

}
