#include <Tests/Fakes/service/FakeService.h>

#include <LibCore/Digest.h>

#include <QJsonDocument>
#include <QTimer>

#include <limits>

namespace Chicorydock {

namespace {

    constexpr uint64_t allConnections = std::numeric_limits<uint64_t>::max();

    std::string callIdOf(const HttpRequest& request)
    {
        return request.headers.find("X-Call-Id").value_or(QByteArray()).toStdString();
    }

    QJsonObject toJson(const std::map<std::string, uint64_t>& counts)
    {
        QJsonObject result;
        for (const auto& [key, count] : counts)
            result[QString::fromStdString(key)] = static_cast<qint64>(count);
        return result;
    }

    HttpResponse jsonResponse(int status, const QByteArray& body)
    {
        return { .status = status, .headers = { { "Content-Type", "application/json" } }, .body = body };
    }

}

FakeService::FakeService(Milliseconds delay)
    : m_delay(delay)
    , m_server(*this)
{
}

void FakeService::handle(std::shared_ptr<HttpExchange> exchange)
{
    const HttpRequest& request = exchange->request();
    if (request.path == "/control") {
        if (request.method == "POST")
            control(QJsonDocument::fromJson(request.body).object());
        exchange->answer(jsonResponse(200, QJsonDocument(counters()).toJson(QJsonDocument::Compact)));
        return;
    }
    count(request);
    exchange->setCallerDisconnectedHandler([this] { ++m_disconnectedCallers; });
    if (exchange->connectionNumber() <= m_lastSilentConnection) {
        m_silentExchanges.push_back(std::move(exchange));
        return;
    }
    if (m_delay.count() == 0)
        respond(*exchange);
    else
        QTimer::singleShot(m_delay, &m_server, [this, exchange] { respond(*exchange); });
}

void FakeService::count(const HttpRequest& request)
{
    ++m_calls;
    ++m_callsById[callIdOf(request)];
    ++m_callsByPath[request.path.toStdString()];
    ++m_callsByBody[sha256Hex(request.body.toStdString())];
}

void FakeService::respond(HttpExchange& exchange)
{
    if (m_failingCalls > 0) {
        --m_failingCalls;
        exchange.answer(jsonResponse(m_failingStatus, "{\"error\":{\"message\":\"failed\"}}"));
        return;
    }
    const Close close = nextClose();
    if (close == Close::Before) {
        exchange.abortStream();
        return;
    }
    if (close == Close::During) {
        const QByteArray body = makeBody(exchange.request());
        exchange.startStream(200, { { "Content-Type", "application/json" } });
        exchange.sendChunk(QByteArrayView(body).first(body.size() / 2));
        exchange.abortStream();
        return;
    }
    respondOk(exchange);
    if (close == Close::After)
        exchange.abortStream();
}

void FakeService::respondOk(HttpExchange& exchange)
{
    ++m_answeredCalls;
    exchange.answer(jsonResponse(200, makeBody(exchange.request())));
}

QByteArray FakeService::makeBody(const HttpRequest& request) const
{
    const std::string callId = callIdOf(request);
    const QJsonObject body { { "path", QString::fromUtf8(request.path) }, { "call_id", QString::fromStdString(callId) },
        { "count", static_cast<qint64>(m_callsById.at(callId)) },
        { "body_sha256", QString::fromStdString(sha256Hex(request.body.toStdString())) } };
    return QJsonDocument(body).toJson(QJsonDocument::Compact);
}

FakeService::Close FakeService::nextClose()
{
    if (m_close == Close::None || m_closeCount == 0)
        return Close::None;
    if (m_closeCount > 0)
        --m_closeCount;
    return m_close;
}

void FakeService::control(const QJsonObject& body)
{
    if (body.contains("delay_ms"))
        m_delay = Milliseconds { body["delay_ms"].toInteger() };
    if (body.contains("close")) {
        const QString close = body["close"].toString();
        m_close = close == "before" ? Close::Before
            : close == "during"     ? Close::During
            : close == "after"      ? Close::After
                                    : Close::None;
        m_closeCount = body["close_count"].toInteger(-1);
    }
    if (body.contains("fail_next")) {
        m_failingCalls = static_cast<uint32_t>(body["fail_next"].toInteger());
        m_failingStatus = body["fail_status"].toInt(500);
    }
    const QString silence = body["silence"].toString();
    if (silence == "open")
        m_lastSilentConnection = m_server.acceptedConnections();
    else if (silence == "all")
        m_lastSilentConnection = allConnections;
    else if (silence == "none")
        m_lastSilentConnection = 0;
}

QJsonObject FakeService::counters() const
{
    return {
        { "calls", static_cast<qint64>(m_calls) },
        { "calls_by_id", toJson(m_callsById) },
        { "calls_by_path", toJson(m_callsByPath) },
        { "calls_by_body", toJson(m_callsByBody) },
        { "answered", static_cast<qint64>(m_answeredCalls) },
        { "callers_gone", static_cast<qint64>(m_disconnectedCallers) },
    };
}

}
