// Plays endpoints and callers that make a node hold bytes without end, with one real process, and prints its memory
// and what the callers of sound requests saw. Run by hand in the root of the repository:
//
//     play-bytes-without-end KIND [REQUESTS]
//
// It starts target/bin/chicorydockd. Its exit status is 1 if a sound request has no whole answer, or if the process has
// grown by more than the memory that its settings allow.

#include "PlaySetup.h"

#include <review/standins/Node.h>
#include <review/standins/Record.h>
#include <review/standins/Store.h>
#include <review/standins/World.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <map>
#include <string>
#include <thread>
#include <vector>

using namespace Review;

namespace {

/// Memory of the machine in megabytes that a node assumes without a setting.
constexpr long assumedMemoryMb = 256;
constexpr int defaultRequests = 120;
constexpr size_t pieceBytes = 64 * 1024;
constexpr size_t largeAnswerBytes = 7'900'000;
constexpr double playMs = 6'000;
constexpr const char* soundPrefix = "/sound/";

/// What a faulty endpoint sends, or what faulty callers do.
const std::vector<std::string> kinds { "interim", "head", "length", "chunks", "close", "extension", "trailer", "event",
    "comments", "events", "silent", "stream-silent", "items", "unread-stream", "unread-answer", "bodies" };

/// An endpoint that sends bytes without end, or many of them and then nothing.
class FaultyWorker {
public:
    FaultyWorker(Store& store, std::string id, std::string kind, unsigned slots)
        : m_kind(std::move(kind))
        , m_id(std::move(id))
        , m_server([this](const Request& request, Connection& connection) { handle(request, connection); })
    {
        store.put("servers", m_id, Plays::registration("faulty", m_server.address(), static_cast<long>(slots)));
    }

private:
    static std::string hex(size_t size)
    {
        char buf[20];
        std::snprintf(buf, sizeof(buf), "%zx", size);
        return buf;
    }

    static std::string chunk(const std::string& bytes) { return hex(bytes.size()) + "\r\n" + bytes + "\r\n"; }

    std::string head(const Request& request, const std::string& fields) const
    {
        return "HTTP/1.1 200 OK\r\nRequest-Id: " + find(request.headers, "Request-Id") + "\r\nInstance-Id: " + m_id
            + "\r\nServer-Signature: s\r\n" + fields + "\r\n";
    }

    void handle(const Request& request, Connection& connection)
    {
        const std::string piece(pieceBytes, 'x');
        const std::string stream = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
        const std::string chunked = "Transfer-Encoding: chunked\r\n";
        if (m_kind == "interim") {
            sendWithoutEnd(
                connection, "", "HTTP/1.1 103 Early Hints\r\nX-Fill: " + std::string(4'000, 'x') + "\r\n\r\n");
        } else if (m_kind == "head") {
            sendWithoutEnd(connection, "HTTP/1.1 200 OK\r\nX-Fill: ", piece);
        } else if (m_kind == "length") {
            sendWithoutEnd(connection, head(request, "Content-Length: 100000000000\r\n"), piece);
        } else if (m_kind == "chunks") {
            sendWithoutEnd(connection, head(request, chunked), chunk(piece));
        } else if (m_kind == "close") {
            sendWithoutEnd(connection, head(request, ""), piece);
        } else if (m_kind == "extension") {
            sendWithoutEnd(connection, head(request, chunked) + "5;x=", piece);
        } else if (m_kind == "trailer") {
            sendWithoutEnd(connection, head(request, chunked) + "0\r\nX-Fill: ", piece);
        } else if (m_kind == "event") {
            sendWithoutEnd(connection, head(request, stream) + chunk("id: 1\ndata: "), chunk(piece));
        } else if (m_kind == "comments") {
            sendWithoutEnd(connection, head(request, stream), chunk(": " + piece + "\n\n"));
        } else if (m_kind == "events" || m_kind == "unread-stream" || m_kind == "items") {
            sendEvents(request, connection, head(request, stream));
        } else if (m_kind == "silent") {
            sendThenWait(connection, head(request, "Content-Length: 100000000000\r\n"), piece);
        } else if (m_kind == "stream-silent") {
            sendThenWait(
                connection, head(request, stream) + chunk("id: 1\ndata: "), chunk(std::string(900'000, 'x')), 1);
        } else if (m_kind == "unread-answer") {
            connection.send(head(request, "Content-Length: " + std::to_string(largeAnswerBytes) + "\r\n")
                + std::string(largeAnswerBytes, 'x'));
            return;
        } else {
            connection.answer(
                200, { { "Server-Signature", "s" }, { "Request-Id", find(request.headers, "Request-Id") } }, "whole");
            return;
        }
        connection.close();
    }

    static void sendWithoutEnd(const Connection& connection, const std::string& head, const std::string& piece)
    {
        for (bool isOpen = connection.send(head); isOpen;)
            isOpen = connection.send(piece);
    }

    static void sendEvents(const Request& request, const Connection& connection, const std::string& head)
    {
        bool isOpen = connection.send(head);
        for (unsigned long n = std::stoul("0" + find(request.headers, "Last-Event-Id")) + 1; isOpen; ++n)
            isOpen = connection.send(
                chunk("id: " + std::to_string(n) + "\ndata: " + std::string(pieceBytes, 'x') + "\n\n"));
    }

    static void sendThenWait(const Connection& connection, const std::string& head, const std::string& piece,
        size_t pieces = largeAnswerBytes / pieceBytes)
    {
        connection.send(head);
        for (size_t n = 0; n < pieces; ++n)
            connection.send(piece);
        while (!connection.isClosed())
            sleepMs(20);
    }

    const std::string m_kind;
    const std::string m_id;
    Server m_server;
};

/// Memory of a process, sampled while it runs, in megabytes.
class MemoryGauge {
public:
    explicit MemoryGauge(pid_t pid)
        : m_pid(pid)
        , m_thread([this] { sample(); })
    {
    }

    ~MemoryGauge()
    {
        m_isEnded = true;
        m_thread.join();
    }

    double read(const std::string& field) const
    {
        std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with(field + ":"))
                return std::stod(line.substr(field.size() + 1)) / 1'024;
        }
        return 0;
    }

    double peak() const { return m_peak; }

private:
    void sample()
    {
        for (; !m_isEnded; sleepMs(10))
            m_peak = std::max<double>(m_peak, read("VmRSS"));
    }

    const pid_t m_pid;
    std::atomic<double> m_peak { 0 };
    std::atomic<bool> m_isEnded { false };
    std::thread m_thread;
};

/// One node between faulty endpoints, sound endpoints, and callers.
class Play {
public:
    Play(std::string kind, int requests)
        : m_kind(std::move(kind))
        , m_requests(requests)
        , m_folder(Plays::makeFolder())
        , m_record(m_folder + "/record.txt")
    {
    }

    int run()
    {
        setUp();
        Node node("edge-1", "zone-a", "region-1", m_store.address(), m_folder);
        node.start();
        if (!World::waitFor([&] { return node.isReady(); }, 10'000))
            return couldNotRun;
        sleepMs(1'500);
        MemoryGauge gauge(node.pid());
        const double before = gauge.read("VmRSS");
        std::thread sound([&] { sendSoundRequests(node.front()); });
        sleepMs(500);
        std::vector<std::thread> callers;
        for (int n = 0; n < m_requests; ++n)
            callers.emplace_back([&, n] { sendFaulty(node.front(), n); });
        for (std::thread& it : callers)
            it.join();
        m_isEnded = true;
        sound.join();
        const bool hasEnded = node.hasEnded();
        sleepMs(1'000);
        report(gauge, before, hasEnded);
        node.kill();
        const bool isWhole = m_soundWhole == m_soundSent;
        return !hasEnded && isWhole && gauge.peak() < assumedMemoryMb ? ruleHeld : ruleBroken;
    }

private:
    void setUp()
    {
        constexpr unsigned faultyWorkers = 3;
        for (unsigned n = 0; n < faultyWorkers; ++n)
            new FaultyWorker(m_store, "i-f" + std::to_string(n), m_kind, static_cast<unsigned>(m_requests));
        m_sound = new Worker(m_store, m_record, m_runs,
            { .id = "i-s1", .service = "sound", .zone = "zone-a", .slots = 8, .eventMs = 5 });
        m_store.put("op", "config",
            Plays::configuration(
                { Plays::route("i", "idempotent", "faulty", false),
                    Plays::route("n", "non_idempotent", "faulty", false),
                    Plays::route("s", "streaming", "faulty", true), Plays::route("u", "streaming", "faulty", false),
                    Plays::route("sound", "streaming", "sound", false), World::batchRoute("/b/", "faulty") },
                { "faulty", "sound" }));
    }

    void sendSoundRequests(const std::string& front)
    {
        for (int n = 0; !m_isEnded; ++n) {
            const std::string id = "sound" + std::to_string(n);
            ++m_soundSent;
            const double start = now();
            const Answer answer = call(front, "POST", soundPrefix + id + "/3",
                { { "Host", World::host }, { "Request-Id", id }, { "Deadline-Ms", "4000" } }, "hi", 5'000);
            m_soundWhole += answer.status == 200 && answer.isComplete ? 1 : 0;
            m_slowestSound = std::max(m_slowestSound, now() - start);
            sleepMs(20);
        }
    }

    bool isStream() const
    {
        return m_kind == "event" || m_kind == "comments" || m_kind == "events" || m_kind == "stream-silent"
            || m_kind == "unread-stream";
    }

    void sendFaulty(const std::string& front, int n)
    {
        const std::string id = "f" + std::to_string(n);
        if (m_kind == "items") {
            submitItems(front, id, n);
            return;
        }
        if (m_kind == "bodies") {
            sendBody(front, id);
            return;
        }
        // Half of the requests may be repeated.
        const bool isRepeatable = n % 2 == 0;
        const std::string prefix = isStream() ? (isRepeatable ? "/s/" : "/u/") : (isRepeatable ? "/i/" : "/n/");
        const Headers headers { { "Host", World::host }, { "Request-Id", id }, { "Deadline-Ms", "4000" } };
        if (m_kind.starts_with("unread")) {
            sendWithoutReading(front, prefix + id, headers);
            return;
        }
        const Answer answer = call(front, "POST", prefix + id, headers, "hi", playMs);
        count(std::to_string(answer.status) + (answer.isComplete ? "" : " cut"));
    }

    void count(const std::string& outcome)
    {
        const std::lock_guard lock(m_mutex);
        ++m_outcomes[outcome];
    }

    void submitItems(const std::string& front, const std::string& id, int n)
    {
        constexpr int jobs = 4;
        if (n >= jobs) {
            sleepMs(playMs);
            return;
        }
        std::vector<Json> list;
        for (int k = 0; k < m_requests / jobs; ++k) {
            const std::string item = id + "i" + std::to_string(k);
            list.push_back(Json::object({ { "id", item }, { "path", "/b/" + item },
                { "headers", Json::object({ { "Token-Count", "540,400" } }) }, { "body", toBase64("prompt") },
                { "token_count", 940 } }));
        }
        const Answer answer = call(front, "POST", "/b/" + id, { { "Host", World::host }, { "Request-Id", id } },
            Json::object({ { "items", Json::array(std::move(list)) } }).dump());
        count(std::to_string(answer.status));
        sleepMs(playMs);
    }

    void sendWithoutReading(const std::string& front, const std::string& target, const Headers& headers)
    {
        const int fd = connectTo(front);
        std::string text = "POST " + target + " HTTP/1.1\r\nContent-Length: 2\r\n";
        for (const auto& [name, value] : headers)
            text += name + ": " + value + "\r\n";
        sendAll(fd, text + "\r\nhi");
        sleepMs(playMs);
        ::close(fd);
        count("not read");
    }

    /// Sends a body but for its last byte.
    void sendBody(const std::string& front, const std::string& id)
    {
        constexpr size_t bodyBytes = 4'194'304;
        const int fd = connectTo(front);
        sendAll(fd,
            "POST /i/" + id + " HTTP/1.1\r\nHost: " + std::string(World::host) + "\r\nRequest-Id: " + id
                + "\r\nDeadline-Ms: 4000\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n");
        sendAll(fd, std::string(bodyBytes - 1, 'x'));
        Reader reader(fd, now() + playMs);
        std::string line;
        reader.readLine(line);
        count(line.empty() ? "no answer" : line.substr(9, 3));
        ::close(fd);
    }

    void report(const MemoryGauge& gauge, double before, bool hasEnded)
    {
        std::string outcomes;
        for (const auto& [outcome, n] : m_outcomes)
            outcomes += (outcomes.empty() ? "" : ", ") + std::to_string(n) + " x " + outcome;
        std::printf("%-14s %4d requests | before %.0f MB, peak %.0f MB, after %.0f MB | sound %d of %d whole, slowest "
                    "%.0f ms%s | %s\n",
            m_kind.c_str(), m_requests, before, gauge.peak(), gauge.read("VmRSS"), m_soundWhole, m_soundSent,
            m_slowestSound, hasEnded ? " | THE PROCESS HAS ENDED" : "", outcomes.c_str());
        std::fflush(stdout);
    }

    const std::string m_kind;
    const int m_requests;
    const std::string m_folder;
    Record m_record;
    Store m_store;
    Runs m_runs;
    Worker* m_sound { nullptr };
    std::atomic<bool> m_isEnded { false };
    int m_soundSent { 0 };
    int m_soundWhole { 0 };
    double m_slowestSound { 0 };
    std::mutex m_mutex;
    std::map<std::string, int> m_outcomes;
};

}

int main(int argc, char** argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    if (argc < 2 || std::ranges::find(kinds, argv[1]) == kinds.end()) {
        for (const std::string& it : kinds)
            std::printf("%s\n", it.c_str());
        return couldNotRun;
    }
    // The threads of the stand-ins are not joined, so the play is not destroyed.
    auto* play = new Play(argv[1], argc > 2 ? std::atoi(argv[2]) : defaultRequests);
    ::_exit(play->run());
}
