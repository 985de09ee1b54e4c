#pragma once

#include <standins/Http.h>

#include <mutex>
#include <string>
#include <vector>

namespace Chicorydock {

/// What may be repeated, as the type of the route says.
enum class RequestKind { Stream, ResumableStream, Repeatable, Unrepeatable };

/// How the caller's part of an exchange ended.
enum class ExchangeEnd {
    Whole,
    /// The connection was closed after everything that the caller had sent was read.
    Closed,
    /// The connection was reset: something that the caller sent may not have been read.
    Reset,
    /// The caller gave up after its deadline.
    Abandoned
};

/// Delimits an endpoint's response.
enum class Framing : char { Length = 'l', Chunks = 'c', Connection = 'n' };

/// A request and the response that the caller expects. The endpoint reads what it has to do from the target.
struct SoakRequest {
    RequestKind kind { RequestKind::Repeatable };
    std::string id;
    /// Events of a stream, else bytes of the response.
    size_t size { 0 };
    /// Time between events, else before the response.
    unsigned delayMs { 0 };
    Framing framing { Framing::Length };
    unsigned deadlineMs { 0 };

    bool isStream() const { return kind == RequestKind::Stream || kind == RequestKind::ResumableStream; }
    bool isRepeatable() const { return kind == RequestKind::Repeatable || kind == RequestKind::ResumableStream; }
    std::string target() const;
    std::string body() const;
    std::string bytes() const;
};

/// Prefix of the route of this kind. Each prefix of streams begins with `/s`.
std::string prefixOf(RequestKind);
std::string eventText(const std::string& id, size_t number);
std::string expectedBody(bool isStream, const std::string& id, size_t size);

/// A request as its caller saw it. Times are milliseconds since the start of the program.
struct Exchange {
    SoakRequest request;
    size_t node { 0 };
    double sentAt { 0 };
    double endedAt { 0 };
    ExchangeEnd end { ExchangeEnd::Abandoned };
    /// 0 if no response came.
    int status { 0 };
    bool hasRetryAfter { false };
    bool bearsOtherId { false };
    /// The body is not the expected one, nor a first part of it if the response isn't whole.
    bool hasWrongBody { false };
    size_t receivedBytes { 0 };
    /// The request was sent before the response to the one before it had come.
    bool isPipelined { false };
};

/// What an endpoint did with a request.
struct Run {
    enum class End { Running, Whole, CallerClosed, BrokenOff };
    std::string endpoint;
    std::string id;
    std::string path;
    size_t afterEvent { 0 };
    double beganAt { 0 };
    double endedAt { 0 };
    End end { End::Running };
    /// The body was not the one that the caller had sent.
    bool isAltered { false };
};

/// Entries that many threads add.
///
/// Thread safety: all members may be called from any thread.
template <typename T> class Ledger {
public:
    size_t add(T entry)
    {
        const std::lock_guard lock(m_mutex);
        m_entries.push_back(std::move(entry));
        return m_entries.size() - 1;
    }

    template <typename F> void update(size_t index, F&& change)
    {
        const std::lock_guard lock(m_mutex);
        change(m_entries[index]);
    }

    std::vector<T> all() const
    {
        const std::lock_guard lock(m_mutex);
        return m_entries;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<T> m_entries;
};

}
