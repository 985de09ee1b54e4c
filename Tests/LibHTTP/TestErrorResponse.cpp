#include <LibHTTP/ErrorResponse.h>

#include <QJsonDocument>
#include <QJsonObject>

#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

QJsonObject errorOf(const HttpResponse& response)
{
    return QJsonDocument::fromJson(response.body).object()["error"].toObject();
}

}

// Guards against a response that contradicts the error table: a wrong "not run" makes a client run a call twice.
TEST_CASE("every kind of error gets the answer that the table names")
{
    for (const ErrorRow& row : errorTable()) {
        CAPTURE(std::string(row.name));
        const HttpResponse response = errorResponse(Error(row.kind, "why \"so\""), "trace");
        const QJsonObject error = errorOf(response);
        const QString name = QString::fromUtf8(row.name.data(), static_cast<qsizetype>(row.name.size()));
        CHECK(response.status == row.httpStatus);
        CHECK(response.headers.find("Content-Type") == QByteArray("application/json"));
        CHECK(response.headers.find("X-Trace-Id") == QByteArray("trace"));
        CHECK(error["kind"].toString() == name);
        CHECK(error["code"].toString() == name);
        CHECK(error["message"].toString() == "why \"so\"");
        CHECK(error["type"].isString());
        CHECK(error["not_run"].toBool() == row.notRun);
        CHECK(error["retry_after_ms"].isNull() == !row.sendsRetryAfter);
        CHECK(response.headers.find("Retry-After").has_value() == row.sendsRetryAfter);
    }
}

// Guards against a client that retries too early, or at once, because of rounding.
TEST_CASE("Retry-After is rounded up to whole seconds and is at least 1")
{
    const auto [delay, seconds] = GENERATE(table<std::optional<Milliseconds>, const char*>({
        { std::nullopt, "1" },
        { Milliseconds { 0 }, "1" },
        { Milliseconds { 1 }, "1" },
        { Milliseconds { 1000 }, "1" },
        { Milliseconds { 1001 }, "2" },
        { Milliseconds { 59'500 }, "60" },
    }));
    const HttpResponse response = errorResponse(Error(ErrorKind::Overloaded, "busy", delay));
    CHECK(response.headers.find("Retry-After") == QByteArray(seconds));
    CHECK(errorOf(response)["retry_after_ms"].toInteger() == delay.value_or(Milliseconds { 1000 }).count());
}
