#pragma once

#include <LibHTTP/HttpServer.h>

#include <QJsonObject>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Chicorydock {

/// A plain service that counts calls and responds on every path with JSON: path, call id and the number of calls with
/// this id. A call counts as run when it arrives, even if its response is lost.
///
/// `POST /control` sets the behaviour (all members optional):
/// - `delay_ms`: time before a response
/// - `close`: close the connection `before`, `during` or `after` the response, or `none`; with `close_count`, only for
///   that many calls
/// - `fail_next` with `fail_status` (default 500): respond to this number of calls with that status
/// - `silence`: `open` (the connections open now send nothing, new ones work), `all` or `none`
/// `GET /control` returns the counters.
///
/// Thread safety: used on the thread that created it, which runs a Qt event loop.
class FakeService final : public HttpHandler {
public:
    explicit FakeService(Milliseconds delay);

    /// Returns the bound port. Throws `Error` if the address cannot be bound.
    uint16_t listen(const std::string& address) { return m_server.listen(address); }

    void handle(std::shared_ptr<HttpExchange>) override;

    /// Applies the body of a `POST /control`.
    void control(const QJsonObject&);
    /// Returns the body of a `GET /control`.
    QJsonObject counters() const;

private:
    enum class Close {
        None,
        Before,
        During,
        After,
    };

    void count(const HttpRequest&);
    void respond(HttpExchange&);
    void respondOk(HttpExchange&);
    QByteArray makeBody(const HttpRequest&) const;
    Close nextClose();

    std::map<std::string, uint64_t> m_callsById;
    std::map<std::string, uint64_t> m_callsByPath;
    std::map<std::string, uint64_t> m_callsByBody;
    uint64_t m_calls { 0 };
    uint64_t m_answeredCalls { 0 };
    uint64_t m_disconnectedCallers { 0 };
    Milliseconds m_delay;
    Close m_close { Close::None };
    /// Number of further calls whose connection is closed; negative for no limit.
    qint64 m_closeCount { -1 };
    uint32_t m_failingCalls { 0 };
    int m_failingStatus { 500 };
    /// Connections numbered up to this one get no further response.
    uint64_t m_lastSilentConnection { 0 };
    std::vector<std::shared_ptr<HttpExchange>> m_silentExchanges;
    HttpServer m_server;
};

}
