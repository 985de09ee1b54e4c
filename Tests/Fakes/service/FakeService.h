#pragma once

#include <LibHTTP/HttpServer.h>

#include <QJsonObject>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Chicorydock {

/// A plain service that counts what arrives and answers every path with JSON: path, call id and how often the call id
/// has arrived. A call counts as run when it arrives, also if its answer is then lost.
///
/// `POST /control` sets the behaviour (all members optional):
/// - `delay_ms`: time before an answer
/// - `close`: `before`, `during` or `after` the answer, or `none`; with `close_count`, only for that many calls
/// - `fail_next` with `fail_status` (default 500): answer the next calls with that status
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
    void answer(HttpExchange&);
    void answerOk(HttpExchange&);
    QByteArray makeBody(const HttpRequest&) const;
    Close takeClose();

    std::map<std::string, uint64_t> m_callsById;
    std::map<std::string, uint64_t> m_callsByPath;
    std::map<std::string, uint64_t> m_callsByBody;
    uint64_t m_calls { 0 };
    uint64_t m_answered { 0 };
    uint64_t m_callersGone { 0 };
    Milliseconds m_delay;
    Close m_close { Close::None };
    /// Calls that are still to be closed; negative for no limit.
    qint64 m_closeCount { -1 };
    uint32_t m_failingCalls { 0 };
    int m_failingStatus { 500 };
    /// Connections up to this number get no answer anymore.
    uint64_t m_silentUpTo { 0 };
    std::vector<std::shared_ptr<HttpExchange>> m_silenced;
    HttpServer m_server;
};

}
