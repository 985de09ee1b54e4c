#include <Tests/Fakes/platform/FakePlatform.h>

#include <LibCore/Error.h>
#include <LibPlatform/TableWire.h>

#include <QHttpServerRequest>
#include <QJsonArray>
#include <QJsonDocument>
#include <QTimer>
#include <QUrl>

#include <algorithm>

namespace Chicorydock {

namespace {

    constexpr size_t maxScanRows = 10'000;

    QByteArray compact(const QJsonObject& object) { return QJsonDocument(object).toJson(QJsonDocument::Compact); }

    QByteArray errorBody(std::string_view kind, const std::string& message)
    {
        const QJsonObject error { { "kind", QString::fromUtf8(kind.data(), static_cast<qsizetype>(kind.size())) },
            { "message", QString::fromStdString(message) } };
        return compact({ { "error", error } });
    }

}

void FakePlatform::control(const QJsonObject& settings)
{
    if (settings.contains("seed"))
        m_random = SeededRandom(static_cast<uint64_t>(settings["seed"].toInteger()));
    m_outage = settings["outage"].toBool(m_outage);
    m_delay = Milliseconds { settings["delay_ms"].toInteger(m_delay.count()) };
    m_lostShare = settings["lost_share"].toDouble(m_lostShare);
    m_responsesToLose = settings["lost_once"].toInteger(m_responsesToLose);
    m_weightBytes = settings["weights_bytes"].toInteger(m_weightBytes);
    m_weightBytesPerSecond
        = std::max<int64_t>(1, settings["weights_bytes_per_second"].toInteger(m_weightBytesPerSecond));
    if (settings.contains("cut_domains")) {
        m_cutDomains.clear();
        for (const QJsonValue& domain : settings["cut_domains"].toArray())
            m_cutDomains.insert(domain.toString().toUtf8());
    }
    if (settings["silence"].toBool())
        m_silentSockets = m_openSockets;
    if (settings.contains("vms")) {
        std::vector<VmEntry> entries;
        for (const QJsonValue& entry : settings["vms"].toArray())
            entries.push_back(TableWire::vmEntryFromJson(entry.toObject()));
        QTimer::singleShot(
            Milliseconds { settings["vms_lag_ms"].toInteger(0) }, this, [this, entries] { m_vms.setEntries(entries); });
    }
}

bool FakePlatform::handleRequest(const QHttpServerRequest& request, QTcpSocket* socket)
{
    if (m_openSockets.insert(socket).second) {
        connect(socket, &QObject::destroyed, this, [this, socket] {
            m_openSockets.erase(socket);
            m_silentSockets.erase(socket);
        });
    }
    const QByteArray path = request.url().path().toUtf8();
    if (path == "/control") {
        Response result = counters();
        if (request.method() == QHttpServerRequest::Method::Post) {
            try {
                control(TableWire::parse(request.body().toStdString()));
            } catch (const Error& error) {
                result = { 400, errorBody(errorRow(error.kind()).name, error.message()) };
            }
        }
        send(socket, result, false);
        return true;
    }
    if (m_silentSockets.contains(socket) || m_cutDomains.contains(request.value("X-Failure-Domain")))
        return true;
    Response result;
    bool isLost = false;
    if (m_outage) {
        ++m_refusedCalls;
        result = { 503, errorBody("platform_unavailable", "the platform is down") };
    } else {
        try {
            result = makeResponse(request);
            isLost = losesResponse(request);
        } catch (const Error& error) {
            result = { errorRow(error.kind()).httpStatus, errorBody(errorRow(error.kind()).name, error.message()) };
        }
    }
    const Milliseconds delay = m_delay + (path.startsWith("/weights/") ? weightDelay() : Milliseconds { 0 });
    if (delay == Milliseconds { 0 }) {
        send(socket, result, isLost);
        return true;
    }
    QTimer::singleShot(delay, this, [this, target = QPointer<QTcpSocket>(socket), result, isLost] {
        if (target)
            send(target, result, isLost);
    });
    return true;
}

void FakePlatform::missingHandler(const QHttpServerRequest&, QTcpSocket* socket)
{
    send(socket, { 404, errorBody("unknown_route", "no such path") }, false);
}

FakePlatform::Response FakePlatform::makeResponse(const QHttpServerRequest& request)
{
    const QByteArray path = request.url().path(QUrl::FullyDecoded).toUtf8();
    if (path.startsWith("/table/"))
        return tableResponse(path, request.body());
    if (path.startsWith("/objects/"))
        return objectResponse(request, path.mid(static_cast<qsizetype>(sizeof("/objects/") - 1)));
    if (path == "/vms")
        return vmListResponse();
    if (path.startsWith("/weights/"))
        return weightsResponse();
    throw Error(ErrorKind::UnknownRoute, "no such path");
}

FakePlatform::Response FakePlatform::tableResponse(const QByteArray& path, const QByteArray& body)
{
    const QJsonObject call = TableWire::parse(body.toStdString());
    const std::string table = call["table"].toString().toStdString();
    if (path == "/table/commit")
        return { 200, compact(TableWire::toJson(m_tables.commit(TableWire::transactionFromJson(call)))) };
    if (path == "/table/get") {
        const auto row = m_tables.get(table, call["key"].toString().toStdString());
        return { 200, compact({ { "row", row ? QJsonValue(TableWire::toJson(*row)) : QJsonValue() } }) };
    }
    if (path != "/table/scan")
        throw Error(ErrorKind::UnknownRoute, "no such path");
    const auto limit = static_cast<size_t>(std::max<qint64>(0, call["limit"].toInteger()));
    QJsonArray rows;
    for (const Row& row : m_tables.scan(table, call["prefix"].toString().toStdString(),
             call["after"].toString().toStdString(), std::min(limit, maxScanRows)))
        rows.append(TableWire::toJson(row));
    return { 200, compact({ { "rows", rows } }) };
}

FakePlatform::Response FakePlatform::objectResponse(const QHttpServerRequest& request, const QByteArray& name)
{
    switch (request.method()) {
    case QHttpServerRequest::Method::Put:
        m_objects.put(name.toStdString(), request.body().toStdString());
        return {};
    case QHttpServerRequest::Method::Delete:
        m_objects.remove(name.toStdString());
        return {};
    case QHttpServerRequest::Method::Get: {
        const auto content = m_objects.get(name.toStdString());
        if (!content)
            throw Error(ErrorKind::NotFound, "no such object");
        return { 200, QByteArray::fromStdString(*content) };
    }
    default:
        throw Error(ErrorKind::UnsupportedMethod, "objects are put, read and deleted");
    }
}

FakePlatform::Response FakePlatform::weightsResponse()
{
    return { 200, QByteArray(static_cast<qsizetype>(m_weightBytes), 'w') };
}

Milliseconds FakePlatform::weightDelay()
{
    // Downloads share the rate: each one starts when the previous ones have ended.
    const MonotonicTime now = std::chrono::steady_clock::now();
    const double seconds = static_cast<double>(m_weightBytes) / static_cast<double>(m_weightBytesPerSecond);
    m_weightsFreeAt = std::max(now, m_weightsFreeAt) + fromSeconds(seconds);
    return std::chrono::duration_cast<Milliseconds>(m_weightsFreeAt - now);
}

FakePlatform::Response FakePlatform::vmListResponse()
{
    QJsonArray entries;
    for (const VmEntry& entry : m_vms.list())
        entries.append(TableWire::toJson(entry));
    return { 200, compact({ { "vms", entries } }) };
}

FakePlatform::Response FakePlatform::counters() const
{
    return { 200,
        compact({ { "table_reads", static_cast<qint64>(m_tables.reads()) },
            { "table_writes", static_cast<qint64>(m_tables.writes()) },
            { "object_reads", static_cast<qint64>(m_objects.reads()) },
            { "object_writes", static_cast<qint64>(m_objects.writes()) },
            { "refused", static_cast<qint64>(m_refusedCalls) },
            { "lost_answers", static_cast<qint64>(m_lostResponses) },
            { "open_connections", static_cast<qint64>(m_openSockets.size()) } }) };
}

bool FakePlatform::isWrite(const QHttpServerRequest& request) const
{
    return request.method() == QHttpServerRequest::Method::Put || request.method() == QHttpServerRequest::Method::Delete
        || request.url().path() == "/table/commit";
}

bool FakePlatform::losesResponse(const QHttpServerRequest& request)
{
    if (!isWrite(request))
        return false;
    const bool isLost = m_responsesToLose > 0 || (m_lostShare > 0 && m_random.unit() < m_lostShare);
    m_responsesToLose = std::max<int64_t>(0, m_responsesToLose - 1);
    m_lostResponses += isLost;
    return isLost;
}

void FakePlatform::send(QTcpSocket* socket, const Response& response, bool isLost)
{
    if (isLost) {
        socket->abort();
        return;
    }
    // Written to the socket directly: a responder of Qt must not outlive the connection, and responses may be delayed.
    socket->write("HTTP/1.1 " + QByteArray::number(response.status)
        + " Status\r\nContent-Length: " + QByteArray::number(response.body.size()) + "\r\n\r\n" + response.body);
}

}
