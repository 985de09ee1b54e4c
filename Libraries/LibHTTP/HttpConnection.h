#pragma once

#include <LibCore/Error.h>
#include <LibCore/MemoryBudget.h>
#include <LibHTTP/HttpExchange.h>
#include <LibHTTP/HttpRequestReader.h>
#include <LibHTTP/HttpResponseFormat.h>
#include <LibHTTP/RequestFeed.h>

#include <QTcpSocket>

#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>

class QHttpServerRequest;

namespace Chicorydock {

class ConnectionExchange;

/// Why a server has refused a caller or closed its connection.
enum class CallerLimit {
    /// The server has as many connections as it may have.
    Connections,
    /// The bytes that the caller sent do not fit in the memory for requests.
    RequestMemory,
    /// The responses that the caller does not take do not fit in the memory for responses.
    ResponseMemory,
};
/// Number of values of `CallerLimit`.
constexpr size_t callerLimits = 3;

/// Counts the callers that a limit was applied to.
struct LimitedCallers {
    uint64_t count { 0 };
    /// Address of the last one.
    std::string lastAddress;

    bool operator==(const LimitedCallers&) const = default;
};

/// State that the connections of one server share.
struct HttpConnectionContext {
    HttpServerLimits limits;
    /// Builds the response to a request that cannot be passed to the handler.
    std::function<HttpResponse(const Error&)> protocolErrorResponse;
    HttpHandler& handler;
    /// Returns the name of a request in the log.
    std::function<std::string(const HttpRequest&)> requestName {};
    /// Limit what all connections together hold of requests, and of responses that callers have not taken yet. Empty if
    /// nothing limits them.
    MemoryBudget* requestMemory { nullptr };
    MemoryBudget* responseMemory { nullptr };
    bool isDraining { false };
    uint64_t acceptedConnections { 0 };
    std::array<LimitedCallers, callerLimits> limited {};
    /// Number of requests whose response has not left the process completely.
    std::atomic<int> activeExchanges { 0 };
};

/// One connection of a caller. It handles one request at a time: bytes of further requests stay in the bounded buffer
/// of the socket until the current response has ended, so responses are sent in the order of the requests. It begins no
/// further request while two responses wait for the caller.
///
/// The bytes that it holds of requests, whether a handler has them, they are arriving or they were sent ahead, count
/// toward the memory for requests, and those of responses toward the memory for responses.
///
/// Load: callers that send requests ahead and read nothing, and more connections than the process may have.
///
/// Thread safety: used on the I/O thread that created it.
class HttpConnection final : public QObject {
public:
    /// Takes ownership of the descriptor of an accepted connection. `context` outlives the connection.
    HttpConnection(HttpConnectionContext& context, qintptr descriptor, QObject* parent);
    ~HttpConnection() override;

    /// Returns the socket that QAbstractHttpServer reads requests from. The connection owns it.
    RequestFeed& feed() { return *m_feed; }

    /// Returns the position of the connection in the order of acceptance, counted from 1.
    uint64_t number() const { return m_number; }

    /// Handles the request that Qt parsed from the feed.
    void handleParsedRequest(const QHttpServerRequest&);

    /// Ends the connection if a time limit has expired.
    void checkDeadline(MonotonicTime now);

    /// Closes the connection if it has served a request and waits for the next one.
    void closeIfIdle();

    /// How soon the connection gives way when the server has too many, the lowest value first.
    struct GiveWayRank {
        enum class Class {
            /// It was opened without sending a request.
            Silent,
            /// It waits for the next request.
            Idle,
            /// It was just opened, and its first request is probably on its way.
            New,
            /// A request is arriving, or was sent ahead.
            Arriving,
            /// The last response was sent, and the caller may not have read all of it.
            Closing,
            /// The caller takes nothing of its response.
            Stalled,
        };

        Class kind { Class::Silent };
        /// Start of what `kind` states, by which connections of the same kind are ordered.
        MonotonicTime since;

        auto operator<=>(const GiveWayRank&) const = default;
    };

    /// Returns nothing if the connection does not give way, because a request is in progress whose caller takes its
    /// response.
    std::optional<GiveWayRank> giveWayRank(MonotonicTime now) const;

    /// Ends the exchange and the connection, because the server has too many. The connection is closed if its last
    /// response was sent and nothing of a further request was read, and reset otherwise.
    void giveWay();

    /// Returns whether a request has arrived in part, or whether the connection is so new that its first request is
    /// probably on its way.
    bool isExpectingRequest(MonotonicTime) const;

    /// Returns the bytes of responses that the caller has not taken yet.
    qint64 unsentBytes() const { return isOpen() ? m_socket->bytesToWrite() : 0; }

    /// Returns whether the last response was sent and the caller has not closed the connection.
    bool isClosing() const { return m_stage == Stage::Lingering && isOpen(); }

    /// Returns the name of the last request whose response has ended without leaving the process at once, as the
    /// context gave it, while bytes of it are unsent.
    const std::string& unsentRequest() const { return m_unsentRequest; }

    /// Sets the function to call, once, when the connection has been closed; the connection then deletes itself.
    void setClosedHandler(std::function<void()> handler) { m_closedHandler = std::move(handler); }

private:
    friend class ConnectionExchange;

    enum class Stage {
        Reading,
        /// A handler processes the request.
        Handling,
        /// The last response was sent; input is read and discarded until the caller closes the connection.
        Lingering,
        Closed,
    };

    void readInput();
    void readMoreLater();
    void discardInput();
    void processInput();
    /// Counts the bytes that have arrived and that no handler has.
    void countInput();
    void dispatch(FramedRequest);
    void refuse(const Error&);
    void updateDeadline();
    void updateActivity();

    // Used by `ConnectionExchange`.
    bool isOpen() const { return m_socket->state() == QAbstractSocket::ConnectedState; }
    bool closesAfterResponse() const;
    /// Queues the bytes. They are sent in the next iteration of the event loop, together with all bytes queued until
    /// then.
    void send(const QByteArray&);
    void flush();
    void endResponse(bool closeConnection);
    void abort();
    /// Resets the connection and drops what its caller has not taken.
    void reset();
    void countUnsentBytes();
    /// Frees the bytes that have arrived, because they cannot be held: refuses the request that is arriving, or drops
    /// those that were sent ahead of the response.
    void releaseInput();
    void handleUnsentRevoked();
    void recordLimited(CallerLimit) const;
    qint64 bytesToWrite() const { return m_socket->bytesToWrite(); }

    /// Keeps the name of the request whose response has just ended if bytes of it are unsent.
    void noteUnsentRequest();
    void startLingering();
    void shutDownWriting();
    void onBytesWritten();
    void handleAllBytesWritten();
    void onDisconnected();

    HttpConnectionContext& m_context;
    uint64_t m_number;
    QTcpSocket* m_socket;
    std::function<void()> m_closedHandler;
    RequestFeed* m_feed;
    HttpRequestReader m_reader;
    QByteArray m_input;
    FramedRequest m_request;
    /// The bytes of the request that is arriving, and of those that were sent ahead.
    MemoryBudget::Account m_received;
    MemoryBudget::Account m_unsent;
    std::weak_ptr<ConnectionExchange> m_exchange;
    std::string m_unsentRequest;
    /// Responses that have ended while bytes of them, or of those before them, waited for the caller.
    int m_unsentResponses { 0 };
    Stage m_stage { Stage::Reading };
    MonotonicTime m_acceptedAt;
    MonotonicTime m_deadline;
    MonotonicTime m_requestStart;
    MonotonicTime m_lastWriteProgress;
    bool m_isActive { false };
    bool m_hasServed { false };
    bool m_isParsed { false };
    bool m_isWritingShutDown { false };
    /// Whether input is dropped, so that no further request can be read.
    bool m_dropsInput { false };
};

}
