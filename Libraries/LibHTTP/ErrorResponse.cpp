#include <LibHTTP/ErrorResponse.h>

#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>

namespace Chicorydock {

namespace {

    /// Delay for errors that carry none because it could not be predicted where they were raised.
    constexpr Milliseconds defaultRetryAfter { 1000 };

    QString toQString(std::string_view text)
    {
        return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
    }

    /// Returns the `type` by which OpenAI-compatible clients classify errors.
    QString clientErrorType(int status)
    {
        if (status == 401)
            return QStringLiteral("authentication_error");
        if (status == 429)
            return QStringLiteral("rate_limit_error");
        return status < 500 ? QStringLiteral("invalid_request_error") : QStringLiteral("server_error");
    }

    int64_t retryAfterSeconds(Milliseconds delay)
    {
        return std::max<int64_t>(1, std::chrono::ceil<std::chrono::seconds>(delay).count());
    }

}

HttpResponse errorResponse(const Error& error, std::string_view traceId)
{
    const ErrorRow& row = errorRow(error.kind());
    HttpResponse response {
        .status = row.httpStatus, .headers = { { "Content-Type", "application/json" } }, .body = {}
    };
    QJsonObject fields {
        { "kind", toQString(row.name) },
        { "message", QString::fromStdString(error.message()) },
        { "type", clientErrorType(row.httpStatus) },
        { "code", toQString(row.name) },
        { "not_run", row.notRun },
        { "retry_after_ms", QJsonValue::Null },
    };
    if (row.sendsRetryAfter) {
        const Milliseconds delay = std::max(error.retryAfter().value_or(defaultRetryAfter), Milliseconds { 0 });
        fields["retry_after_ms"] = static_cast<qint64>(delay.count());
        response.headers.add("Retry-After", QByteArray::number(static_cast<qlonglong>(retryAfterSeconds(delay))));
    }
    if (!traceId.empty())
        response.headers.add("X-Trace-Id", QByteArray(traceId.data(), static_cast<qsizetype>(traceId.size())));
    response.body = QJsonDocument(QJsonObject { { "error", fields } }).toJson(QJsonDocument::Compact);
    return response;
}

}
