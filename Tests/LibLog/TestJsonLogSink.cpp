#include <LibLog/JsonLogSink.h>
#include <LibLog/LogTraceScope.h>

#include <QJsonDocument>
#include <QJsonObject>

#include <catch2/catch.hpp>

#include <QFile>
#include <QTemporaryDir>

#include <fcntl.h>
#include <unistd.h>

using namespace Chicorydock;

namespace {

QJsonObject parse(const std::string& line) { return QJsonDocument::fromJson(QByteArray::fromStdString(line)).object(); }

}

// Guards against messages that break the line format: quotes, line breaks, control characters and invalid UTF-8.
TEST_CASE("a log line is one JSON object whatever the message contains")
{
    const JsonLogSink sink("n\"1", "bajio-1", [](std::string_view) {});
    const std::string message = "say \"no\" \\ \n\t\x01 \xc3\xa9";
    const std::string line
        = sink.format(google::GLOG_WARNING, "a.cpp", 7, fromUnixMilliseconds(1'700'000'000'042), message);
    CHECK(line.find('\n') == std::string::npos);
    const QJsonObject object = parse(line);
    CHECK(object["message"].toString().toStdString() == message);
    CHECK(object["level"].toString() == "warning");
    CHECK(object["time"].toString() == "2023-11-14T22:13:20.042Z");
    CHECK(object["file"].toString() == "a.cpp:7");
    CHECK(object["node"].toString() == "n\"1");
    CHECK(object["failure_domain"].toString() == "bajio-1");
    CHECK_FALSE(object.contains("trace_id"));
    CHECK_FALSE(parse(sink.format(google::GLOG_INFO, "a.cpp", 7, WallTime {}, "bad \xff byte")).isEmpty());
}

// Guards against a trace id that leaks into log lines of the next request on the same thread.
TEST_CASE("a trace id lasts as long as its scope")
{
    std::string written;
    JsonLogSink sink("n1", "bajio-1", [&](std::string_view line) { written = line; });
    const auto traceOfNextLine = [&] {
        sink.send(google::GLOG_INFO, "/x/a.cpp", "a.cpp", 1, google::LogMessageTime(), "m", 1);
        return parse(written)["trace_id"].toString();
    };
    {
        const LogTraceScope outer("t1");
        {
            const LogTraceScope inner("t2");
            CHECK(traceOfNextLine() == "t2");
        }
        CHECK(traceOfNextLine() == "t1");
    }
    CHECK(traceOfNextLine().isEmpty());
    CHECK(written.ends_with("}\n"));
}

// Guards against lines in glog's own format among the JSON lines, which log collectors cannot parse.
TEST_CASE("the process writes only JSON lines at or above the configured level")
{
    const QTemporaryDir folder;
    const QString path = folder.filePath("stderr");
    const int saved = ::dup(STDERR_FILENO);
    const int file = ::open(path.toUtf8().constData(), O_CREAT | O_WRONLY, 0600);
    ::dup2(file, STDERR_FILENO);
    {
        const JsonLog log("warning", "n1", "bajio-1");
        LOG(INFO) << "hidden";
        LOG(WARNING) << "shown";
        LOG(ERROR) << "also shown";
    }
    ::dup2(saved, STDERR_FILENO);
    ::close(saved);
    ::close(file);
    QFile written(path);
    REQUIRE(written.open(QIODevice::ReadOnly));
    const auto lines = written.readAll().trimmed().split('\n');
    REQUIRE(lines.size() == 2);
    CHECK(parse(lines[0].toStdString())["message"].toString() == "shown");
    CHECK(parse(lines[1].toStdString())["level"].toString() == "error");
}
