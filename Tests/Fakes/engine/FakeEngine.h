#pragma once

#include <LibHTTP/HttpServer.h>
#include <Tests/Fakes/engine/EngineFaults.h>
#include <Tests/Fakes/engine/EngineSettings.h>
#include <Tests/Fakes/engine/EngineStream.h>
#include <Tests/Fakes/engine/LoadHistory.h>
#include <Tests/Fakes/engine/OrderProcessor.h>
#include <Tests/Fakes/engine/PrefixCache.h>

#include <QTimer>

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Chicorydock {

/// A small model of an engine with continuous batching: one step gives every running stream one token, and the duration
/// of a step grows with the number of streams. Requests that exceed the batch wait in the order of arrival.
///
/// `POST /control` enables faults (all members optional):
/// - `slow`: `{"factor","for_ms"}`, multiply the time of prefills and steps by the factor for that time
/// - `refuse`: respond to generations and orders with status 503
/// - `fail_after_tokens` with `fail_streams` (default 1): abort that many streams after this number of tokens
/// - `fail_next` with `fail_status` (default 500): respond to this number of requests with that status
/// - `silence`: `open` (the connections open now send nothing, new ones work), `all` or `none`
/// - `drop_connections`: abort all streams
/// `GET /control` returns counters and the orders received.
///
/// Thread safety: used on the thread that created it, which runs a Qt event loop.
class FakeEngine final : public HttpHandler {
public:
    explicit FakeEngine(const EngineSettings&);

    /// Returns the bound port. Throws `Error` if the address cannot be bound.
    uint16_t listen(const std::string& address) { return m_server.listen(address); }

    void handle(std::shared_ptr<HttpExchange>) override;

    /// Applies the body of a `POST /control`.
    void control(const QJsonObject&);
    /// Returns the body of a `GET /control`.
    QJsonObject counters() const;

private:
    using Streams = std::list<EngineStream>;

    void handleGeneration(const std::shared_ptr<HttpExchange>&);
    void handleControl(HttpExchange&);
    void handleOrder(const std::shared_ptr<HttpExchange>&);
    void handleReport(HttpExchange&);
    void applyOrder(HttpExchange&, const EndpointOrder&);
    bool respondWithFault(HttpExchange&);
    void countArrival(const HttpRequest&);
    void addStream(const std::shared_ptr<HttpExchange>&, const QJsonObject& body);
    EngineStream::Options streamOptions(const HttpRequest&, const QJsonObject& body, const EngineCompletion&);
    void removeDisconnected();
    void admitWaiting();
    void stepUntil(MonotonicTime now);
    void step(MonotonicTime now);
    void scheduleStep();
    Microseconds stepDuration(MonotonicTime now) const;
    bool isSilent(const HttpExchange&) const;
    void dropConnections();
    void recordLoad();
    bool containsPoison(const EngineCompletion&) const;

    EngineSettings m_settings;
    EngineFaults m_faults;
    PrefixCache m_cache;
    LoadHistory m_load;
    OrderProcessor m_orders;
    Streams m_running;
    Streams m_waiting;
    /// Requests on silent connections.
    std::vector<std::shared_ptr<HttpExchange>> m_silentExchanges;
    QTimer m_stepTimer;
    QTimer m_loadTimer;
    MonotonicTime m_nextStep;
    /// When the prefills accepted so far end. Prompts are processed one after the other.
    MonotonicTime m_prefillFreeAt;

    std::map<std::string, uint64_t> m_arrivalsById;
    std::map<std::string, uint64_t> m_arrivalsByBody;
    std::map<std::string, uint64_t> m_arrivalsByPrompt;
    uint64_t m_arrivals { 0 };
    uint64_t m_finished { 0 };
    uint64_t m_cancelled { 0 };
    uint64_t m_failed { 0 };
    uint64_t m_refused { 0 };
    uint64_t m_tokens { 0 };
    uint64_t m_cachedTokens { 0 };
    uint64_t m_promptTokens { 0 };
    size_t m_maxRunning { 0 };
    HttpServer m_server;
};

}
