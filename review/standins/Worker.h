#pragma once

#include <standins/Record.h>
#include <standins/Store.h>

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>

namespace Review {

/// A run of a request at a worker.
struct Run {
    std::string worker;
    std::string service;
    std::string request;
    unsigned long lastEventId { 0 };
    double beganAt { 0 };
    double endedAt { 0 };
    bool isComplete { false };
};

/// All runs at all workers, in the order in which they began.
class Runs {
public:
    size_t begin(const Run& run)
    {
        const std::lock_guard lock(m_mutex);
        m_runs.push_back(run);
        return m_runs.size() - 1;
    }

    void end(size_t number, bool isComplete)
    {
        const std::lock_guard lock(m_mutex);
        m_runs[number].endedAt = now();
        m_runs[number].isComplete = isComplete;
    }

    std::vector<Run> all() const
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<Run> m_runs;
};

/// A model worker. It registers in the store and answers requests with a stream of events. The number of events is the
/// last part of the path: `/prefix/ID/EVENTS`. A request waits for one of `slots`, is dropped when its connection
/// closes, and resumes after `Last-Event-Id`.
class Worker {
public:
    struct Options {
        std::string id;
        std::string service;
        std::string zone;
        unsigned slots { 4 };
        double eventMs { 100 };
        long born { 1 };
        /// 0 for any free port.
        uint16_t port { 0 };
    };

    Worker(Store& store, Record& record, Runs& runs, Options options)
        : m_store(store)
        , m_record(record)
        , m_runs(runs)
        , m_options(std::move(options))
        , m_server(
              [this](const Request& request, Connection& connection) { handle(request, connection); }, m_options.port)
    {
        m_heartbeat = std::thread([this] { beat(); });
    }

    const Options& options() const { return m_options; }
    std::string address() const { return m_server.address(); }

    /// Announces that the worker leaves: in the store, at the next heartbeat if that takes no writes, and in all
    /// answers. It goes on serving.
    void drain()
    {
        m_isDraining = true;
        m_record.add("worker " + m_options.id + " begins to leave");
        writeEntry();
    }

    /// Ends the process after a planned stop: the entry in the store is removed.
    void end()
    {
        crash();
        m_store.remove("servers", m_options.id);
    }

    /// Ends the process without a word. The entry stays in the store.
    void crash()
    {
        m_hasEnded = true;
        m_server.stop();
        m_record.add("worker " + m_options.id + " has ended");
    }

    unsigned running() const { return m_running; }

    /// Changes the version of the weights in place.
    void setWeights(int version) { m_weights = version; }

private:
    static constexpr double heartbeatMs = 1'200;
    static constexpr unsigned maxQueued = 24;

    void beat()
    {
        while (!m_hasEnded) {
            writeEntry();
            sleepMs(heartbeatMs);
        }
    }

    void writeEntry()
    {
        if (m_hasEnded)
            return;
        m_store.put("servers", m_options.id,
            Json::object({ { "service", m_options.service }, { "address", address() }, { "zone", m_options.zone },
                             { "version", "v1" }, { "slots", static_cast<long>(m_options.slots) },
                             { "state", m_isDraining ? "draining" : "ready" }, { "cold_remaining_ms", 0 },
                             { "sequence", ++m_sequence }, { "born", m_options.born } })
                .dump());
    }

    Headers answerHeaders(const Request& request) const
    {
        Headers headers { { "Request-Id", find(request.headers, "Request-Id") },
            { "Server-Load",
                std::to_string(m_running) + "," + std::to_string(m_queued) + "," + std::to_string(m_options.slots)
                    + ",100" },
            { "Instance-Id", m_options.id }, { "Weight-Versions", std::to_string(m_weights) } };
        if (m_isDraining)
            headers["Server-Leaving"] = "1";
        return headers;
    }

    void handle(const Request& request, Connection& connection)
    {
        Headers headers = answerHeaders(request);
        if (request.path() == "/health") {
            connection.answer(m_isDraining ? 503 : 200, headers, {});
            return;
        }
        const std::string expected = find(request.headers, "Expect-Instance");
        if (!expected.empty() && expected != m_options.id) {
            connection.answer(421, headers, {});
            return;
        }
        const std::string weights = find(request.headers, "Expect-Version");
        if (!weights.empty() && weights != std::to_string(m_weights)) {
            m_record.add("worker " + m_options.id + " answers " + find(request.headers, "Request-Id")
                + " with 421: its weights have another version than " + weights);
            connection.answer(421, headers, {});
            return;
        }
        if (!acquireSlot(connection)) {
            headers["Not-Executed"] = "1";
            connection.answer(503, headers, {});
            return;
        }
        run(request, connection);
        --m_running;
    }

    bool acquireSlot(Connection& connection)
    {
        if (m_queued >= maxQueued)
            return false;
        ++m_queued;
        for (;;) {
            unsigned running = m_running;
            if (running < m_options.slots && m_running.compare_exchange_strong(running, running + 1))
                break;
            if (m_hasEnded || connection.isClosed()) {
                --m_queued;
                return false;
            }
            sleepMs(2);
        }
        --m_queued;
        return true;
    }

    void run(const Request& request, Connection& connection)
    {
        const std::string id = find(request.headers, "Request-Id");
        const std::string path = request.path();
        const unsigned long events = std::stoul("0" + path.substr(path.rfind('/') + 1));
        const unsigned long after = std::stoul("0" + find(request.headers, "Last-Event-Id"));
        const size_t number = m_runs.begin({ m_options.id, m_options.service, id, after, now() });
        m_record.add("worker " + m_options.id + " (" + m_options.service + ") begins to run " + id
            + (after > 0 ? " after event " + std::to_string(after) : ""));
        Headers headers = answerHeaders(request);
        headers["Server-Signature"] = "s." + m_options.id + "." + id;
        std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
        for (const auto& [name, value] : headers)
            head += name + ": " + value + "\r\n";
        bool isOpen = connection.send(head + "\r\n");
        for (unsigned long n = after + 1; isOpen && n <= events; ++n) {
            sleepMs(m_options.eventMs);
            if (m_hasEnded || connection.isClosed()) {
                isOpen = false;
                break;
            }
            const std::string event = "id: " + std::to_string(n) + "\ndata: " + dataOf(id, n) + "\n\n";
            isOpen = connection.send(hex(event.size()) + "\r\n" + event + "\r\n");
        }
        if (isOpen)
            isOpen = connection.send("0\r\n\r\n");
        if (!isOpen)
            connection.close();
        m_runs.end(number, isOpen);
        m_record.add("worker " + m_options.id + (isOpen ? " has finished " : " has dropped ") + id);
    }

public:
    static std::string dataOf(const std::string& id, unsigned long n) { return id + "-" + std::to_string(n); }

private:
    static std::string hex(size_t size)
    {
        char buf[20];
        std::snprintf(buf, sizeof(buf), "%zx", size);
        return buf;
    }

    Store& m_store;
    Record& m_record;
    Runs& m_runs;
    const Options m_options;
    std::atomic<int> m_weights { 1 };
    std::atomic<bool> m_isDraining { false };
    std::atomic<bool> m_hasEnded { false };
    std::atomic<unsigned> m_running { 0 };
    std::atomic<unsigned> m_queued { 0 };
    std::atomic<long> m_sequence { 0 };
    Server m_server;
    std::thread m_heartbeat;
};

}
