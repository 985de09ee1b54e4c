#include <Tests/Fakes/engine/FakeEngine.h>

#include <LibCore/Digest.h>
#include <LibEndpoint/EndpointDocuments.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QPointer>
#include <QUrlQuery>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace Chicorydock {

namespace {

    constexpr Milliseconds loadSampleInterval { 20 };
    constexpr int poisonExitStatus = 3;

    MonotonicTime now() { return std::chrono::steady_clock::now(); }

    void respondWithJson(HttpExchange& exchange, const QJsonObject& body, int status = 200)
    {
        exchange.answer({ .status = status,
            .headers = { { "Content-Type", "application/json" } },
            .body = QJsonDocument(body).toJson(QJsonDocument::Compact) });
    }

    void respondWithError(HttpExchange& exchange, int status, const char* message)
    {
        respondWithJson(exchange, { { "error", QJsonObject { { "message", message } } } }, status);
    }

    QJsonObject toJson(const std::map<std::string, uint64_t>& counts)
    {
        QJsonObject result;
        for (const auto& [key, count] : counts)
            result[QString::fromStdString(key)] = static_cast<qint64>(count);
        return result;
    }

    QJsonObject bodyOf(const HttpRequest& request) { return QJsonDocument::fromJson(request.body).object(); }

    HttpServerLimits engineLimits()
    {
        HttpServerLimits limits;
        limits.maxBodyBytes = 64 * 1024 * 1024;
        return limits;
    }

}

FakeEngine::FakeEngine(const EngineSettings& settings)
    : m_settings(settings)
    , m_cache(settings)
    , m_load(settings.loadDelay)
    , m_orders(settings.models, settings.role, settings.checkFencing)
    , m_server(*this, engineLimits())
{
    m_stepTimer.setSingleShot(true);
    m_stepTimer.setTimerType(Qt::PreciseTimer);
    QObject::connect(&m_stepTimer, &QTimer::timeout, [this] { stepUntil(now()); });
    QObject::connect(&m_loadTimer, &QTimer::timeout, [this] { recordLoad(); });
    m_loadTimer.start(loadSampleInterval);
    recordLoad();
}

void FakeEngine::handle(std::shared_ptr<HttpExchange> exchange)
{
    const HttpRequest& request = exchange->request();
    if (request.path == "/control") {
        handleControl(*exchange);
        return;
    }
    const bool isPost = request.method == "POST";
    if (isPost)
        countArrival(request);
    if (isSilent(*exchange)) {
        m_silentExchanges.push_back(std::move(exchange));
        return;
    }
    if (isPost && respondWithFault(*exchange))
        return;
    if (isPost && (request.path == "/v1/chat/completions" || request.path == "/v1/completions"))
        handleGeneration(exchange);
    else if (isPost && request.path == "/orders")
        handleOrder(exchange);
    else
        handleReport(*exchange);
}

void FakeEngine::handleReport(HttpExchange& exchange)
{
    const HttpRequest& request = exchange.request();
    if (request.path == "/load")
        respondWithJson(exchange, Chicorydock::toJson(m_load.reportAt(now())));
    else if (request.path == "/state")
        respondWithJson(exchange, Chicorydock::toJson(m_orders.state()));
    else if (request.path == "/cache/events") {
        const QUrlQuery query(QString::fromUtf8(request.query));
        const uint64_t after = query.queryItemValue("after").toULongLong();
        respondWithJson(exchange, Chicorydock::toJson(m_cache.eventsAfter(after, now())));
    } else
        respondWithError(exchange, 404, "no such path");
}

bool FakeEngine::respondWithFault(HttpExchange& exchange)
{
    if (m_faults.refuse) {
        ++m_refused;
        respondWithError(exchange, 503, "refused");
        return true;
    }
    if (m_faults.failingRequests > 0) {
        --m_faults.failingRequests;
        ++m_failed;
        respondWithError(exchange, m_faults.failingStatus, "failed");
        return true;
    }
    return false;
}

void FakeEngine::countArrival(const HttpRequest& request)
{
    ++m_arrivals;
    const auto id = request.headers.find("X-Call-Id");
    const auto traceId = request.headers.find("X-Trace-Id");
    if (id || traceId)
        ++m_arrivalsById[id.value_or(traceId.value_or(QByteArray())).toStdString()];
    ++m_arrivalsByBody[sha256Hex(request.body.toStdString())];
    if (request.path.startsWith("/v1/"))
        ++m_arrivalsByPrompt[sha256Hex(promptOf(bodyOf(request)))];
}

void FakeEngine::handleGeneration(const std::shared_ptr<HttpExchange>& exchange)
{
    const QJsonDocument document = QJsonDocument::fromJson(exchange->request().body);
    if (!document.isObject()) {
        respondWithError(*exchange, 400, "the body is not a JSON object");
        return;
    }
    const QJsonObject body = document.object();
    if (!m_orders.isLoaded(body.value("model").toString().toStdString())) {
        respondWithError(*exchange, 404, "the model is not loaded");
        return;
    }
    if (m_waiting.size() >= m_settings.maxWaiting) {
        ++m_refused;
        respondWithError(*exchange, 429, "too many requests wait");
        return;
    }
    addStream(exchange, body);
}

void FakeEngine::addStream(const std::shared_ptr<HttpExchange>& exchange, const QJsonObject& body)
{
    const EngineCompletion completion = makeEngineCompletion(body, m_settings);
    if (containsPoison(completion)) {
        std::fprintf(stderr, "the prompt contains the poison marker\n");
        std::_Exit(poisonExitStatus);
    }
    exchange->setCallerDisconnectedHandler([this] { removeDisconnected(); });
    m_waiting.emplace_back(exchange, completion, streamOptions(exchange->request(), body, completion));
    admitWaiting();
    scheduleStep();
}

bool FakeEngine::containsPoison(const EngineCompletion& completion) const
{
    return m_settings.allowPoison && completion.prompt.find(m_settings.poisonMarker) != std::string::npos;
}

EngineStream::Options FakeEngine::streamOptions(
    const HttpRequest& request, const QJsonObject& body, const EngineCompletion& completion)
{
    EngineStream::Options options;
    options.isChat = request.path == "/v1/chat/completions";
    options.isStream = body.value("stream").toBool();
    options.includeUsage = body.value("stream_options")["include_usage"].toBool();
    options.resumeFrom
        = static_cast<uint32_t>(std::clamp<qint64>(body.value("resume_from").toInteger(), 0, completion.tokens));
    options.cachedTokens = std::min(completion.promptTokens, m_cache.use(completion.model, completion.prompt, now()));
    m_cachedTokens += options.cachedTokens;
    m_promptTokens += completion.promptTokens;
    const uint32_t prefillTokens = completion.promptTokens - options.cachedTokens + options.resumeFrom;
    const double factor = m_faults.slowFactorAt(now());
    m_prefillFreeAt = std::max(m_prefillFreeAt, now())
        + std::chrono::duration_cast<Microseconds>(m_settings.prefillPerToken * prefillTokens * factor);
    options.prefillEnd = m_prefillFreeAt;
    if (m_faults.failingStreams > 0) {
        --m_faults.failingStreams;
        options.failAfter = m_faults.failAfterTokens;
    }
    return options;
}

void FakeEngine::removeDisconnected()
{
    const auto isDisconnected = [](EngineStream& it) { return it.exchange().isCallerDisconnected(); };
    // Called from a handler of an exchange, so the stream that owns the exchange is destroyed at the end of this
    // method.
    Streams disconnected;
    for (Streams* streams : { &m_running, &m_waiting }) {
        for (auto it = streams->begin(); it != streams->end();) {
            const auto next = std::next(it);
            if (isDisconnected(*it))
                disconnected.splice(disconnected.end(), *streams, it);
            it = next;
        }
    }
    m_cancelled += disconnected.size();
    admitWaiting();
}

void FakeEngine::admitWaiting()
{
    while (!m_waiting.empty() && m_running.size() < m_settings.maxRunning)
        m_running.splice(m_running.end(), m_waiting, m_waiting.begin());
    m_maxRunning = std::max(m_maxRunning, m_running.size());
}

Microseconds FakeEngine::stepDuration(MonotonicTime time) const
{
    const Microseconds baseDuration = m_settings.baseGap + m_settings.gapPerStream * m_running.size();
    return std::chrono::duration_cast<Microseconds>(baseDuration * m_faults.slowFactorAt(time));
}

void FakeEngine::scheduleStep()
{
    if (m_stepTimer.isActive() || m_running.empty())
        return;
    const MonotonicTime time = now();
    // The engine was idle, so a step begins now.
    if (m_nextStep < time)
        m_nextStep = time + stepDuration(time);
    m_stepTimer.start(std::chrono::ceil<Milliseconds>(m_nextStep - time));
}

void FakeEngine::stepUntil(MonotonicTime time)
{
    // Several steps are due at once if their duration is below the resolution of the timer.
    while (m_nextStep <= time && !m_running.empty()) {
        step(m_nextStep);
        admitWaiting();
        m_nextStep += stepDuration(m_nextStep);
    }
    if (!m_running.empty())
        m_stepTimer.start(std::max(Milliseconds { 0 }, std::chrono::ceil<Milliseconds>(m_nextStep - now())));
}

void FakeEngine::step(MonotonicTime time)
{
    for (auto it = m_running.begin(); it != m_running.end();) {
        const auto next = std::next(it);
        if (it->prefillEnd() <= time && !isSilent(it->exchange())) {
            ++m_tokens;
            if (!it->step()) {
                ++(it->hasFailed() ? m_failed : m_finished);
                m_running.erase(it);
            }
        }
        it = next;
    }
}

bool FakeEngine::isSilent(const HttpExchange& exchange) const
{
    return exchange.connectionNumber() <= m_faults.lastSilentConnection;
}

void FakeEngine::handleOrder(const std::shared_ptr<HttpExchange>& exchange)
{
    const std::optional<EndpointOrder> order = toEndpointOrder(bodyOf(exchange->request()));
    if (!order) {
        respondWithError(*exchange, 400, "the order is malformed");
        return;
    }
    if (m_settings.orderTime.count() == 0) {
        applyOrder(*exchange, *order);
        return;
    }
    QTimer::singleShot(m_settings.orderTime, &m_server, [this, exchange, order] { applyOrder(*exchange, *order); });
}

void FakeEngine::applyOrder(HttpExchange& exchange, const EndpointOrder& order)
{
    if (m_orders.apply(order))
        respondWithJson(exchange, Chicorydock::toJson(m_orders.state()));
    else
        respondWithError(exchange, 409, "the fencing number is outdated");
}

void FakeEngine::handleControl(HttpExchange& exchange)
{
    if (exchange.request().method == "POST")
        control(bodyOf(exchange.request()));
    respondWithJson(exchange, counters());
}

void FakeEngine::control(const QJsonObject& body)
{
    if (body.contains("slow")) {
        m_faults.slowFactor = body["slow"]["factor"].toDouble(1);
        m_faults.slowUntil = now() + Milliseconds { body["slow"]["for_ms"].toInteger() };
    }
    if (body.contains("refuse"))
        m_faults.refuse = body["refuse"].toBool();
    if (body.contains("fail_after_tokens")) {
        m_faults.failAfterTokens = static_cast<uint32_t>(body["fail_after_tokens"].toInteger());
        m_faults.failingStreams = static_cast<uint32_t>(body["fail_streams"].toInteger(1));
    }
    if (body.contains("fail_next")) {
        m_faults.failingRequests = static_cast<uint32_t>(body["fail_next"].toInteger());
        m_faults.failingStatus = body["fail_status"].toInt(500);
    }
    const QString silence = body["silence"].toString();
    if (silence == "open")
        m_faults.lastSilentConnection = m_server.acceptedConnections();
    else if (silence == "all")
        m_faults.lastSilentConnection = EngineFaults::allConnections;
    else if (silence == "none")
        m_faults.lastSilentConnection = 0;
    if (body["drop_connections"].toBool())
        dropConnections();
}

void FakeEngine::dropConnections()
{
    Streams dropped;
    dropped.splice(dropped.end(), m_running);
    dropped.splice(dropped.end(), m_waiting);
    m_failed += dropped.size();
    for (EngineStream& it : dropped)
        it.exchange().abortStream();
    for (const auto& it : m_silentExchanges)
        it->abortStream();
    m_silentExchanges.clear();
}

void FakeEngine::recordLoad()
{
    std::erase_if(m_silentExchanges, [](const auto& it) { return it->isCallerDisconnected(); });
    m_load.add({ .running = static_cast<uint32_t>(m_running.size()),
                   .waiting = static_cast<uint32_t>(m_waiting.size()),
                   .cacheUse = m_cache.usedShare(),
                   .measuredAt = std::chrono::system_clock::now() },
        now());
}

QJsonObject FakeEngine::counters() const
{
    QJsonArray orders;
    for (const OrderProcessor::Entry& it : m_orders.entries()) {
        QJsonObject order = Chicorydock::toJson(it.order);
        order["refused"] = it.wasRefused;
        orders.append(order);
    }
    return {
        { "arrivals", static_cast<qint64>(m_arrivals) },
        { "arrivals_by_id", toJson(m_arrivalsById) },
        { "arrivals_by_body", toJson(m_arrivalsByBody) },
        { "arrivals_by_prompt", toJson(m_arrivalsByPrompt) },
        { "running", static_cast<qint64>(m_running.size()) },
        { "waiting", static_cast<qint64>(m_waiting.size()) },
        { "max_running", static_cast<qint64>(m_maxRunning) },
        { "finished", static_cast<qint64>(m_finished) },
        { "cancelled", static_cast<qint64>(m_cancelled) },
        { "failed", static_cast<qint64>(m_failed) },
        { "refused", static_cast<qint64>(m_refused) },
        { "tokens", static_cast<qint64>(m_tokens) },
        { "prompt_tokens", static_cast<qint64>(m_promptTokens) },
        { "cached_tokens", static_cast<qint64>(m_cachedTokens) },
        { "orders", orders },
    };
}

}
