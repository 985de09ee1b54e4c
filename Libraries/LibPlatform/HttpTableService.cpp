#include <LibPlatform/HttpTableService.h>

#include <LibCore/Error.h>
#include <LibPlatform/TableWire.h>

#include <QJsonArray>
#include <QJsonDocument>

namespace Chicorydock {

namespace {

    QString toQString(std::string_view text)
    {
        return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
    }

    QJsonObject post(BlockingHttp& http, const QByteArray& path, const QJsonObject& body)
    {
        const auto response = http.send("POST", path, QJsonDocument(body).toJson(QJsonDocument::Compact));
        if (response.status != 200)
            throwPlatformError(response);
        const auto document = QJsonDocument::fromJson(response.body);
        if (!document.isObject())
            throw Error(ErrorKind::OutcomeUnknown, "the table service answered without a JSON object");
        return document.object();
    }

    /// Runs a read call. A read has no effect, so an unknown outcome counts as an unavailable platform.
    template <typename Function> auto read(Function function)
    {
        try {
            return function();
        } catch (const Error& error) {
            throw Error(ErrorKind::PlatformUnavailable, error.message(), error.retryAfter());
        }
    }

}

HttpTableService::HttpTableService(const std::string& address, Milliseconds timeout, const std::string& failureDomain)
    : m_http(address, timeout, failureDomain)
{
}

std::optional<Row> HttpTableService::get(std::string_view table, std::string_view key)
{
    return read([&]() -> std::optional<Row> {
        const QJsonObject response
            = post(m_http, "/table/get", { { "table", toQString(table) }, { "key", toQString(key) } });
        if (!response["row"].isObject())
            return {};
        return TableWire::rowFromJson(response["row"].toObject());
    });
}

std::vector<Row> HttpTableService::scan(
    std::string_view table, std::string_view prefix, std::string_view after, size_t limit)
{
    return read([&] {
        const QJsonObject response = post(m_http, "/table/scan",
            { { "table", toQString(table) }, { "prefix", toQString(prefix) }, { "after", toQString(after) },
                { "limit", static_cast<qint64>(limit) } });
        std::vector<Row> rows;
        for (const QJsonValue& row : response["rows"].toArray())
            rows.push_back(TableWire::rowFromJson(row.toObject()));
        return rows;
    });
}

CommitResult HttpTableService::commit(const Transaction& transaction)
{
    const QJsonObject response = post(m_http, "/table/commit", TableWire::toJson(transaction));
    try {
        return TableWire::commitResultFromJson(response);
    } catch (const Error& error) {
        throw Error(ErrorKind::OutcomeUnknown, error.message());
    }
}

}
