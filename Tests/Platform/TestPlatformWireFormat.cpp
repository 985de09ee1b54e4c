#include <platform/PlatformWireFormat.h>

#include <LibCore/Digest.h>
#include <LibCore/SeededRandom.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

const QByteArray configurationDocument = R"({"version":7,"routes":[
 {"name":"r1","host":"h.example","prefix":"/a/","route_type":"streaming","timeout_ms":5000,"target_latency_ms":300,
  "priority":0,"service":"lm","max_attempts":2,"sticky":true,"can_resume":true,"gap_aim_ms":250},
 {"name":"r2","host":"h.example","prefix":"/b/","route_type":"batch","timeout_ms":15000,"target_latency_ms":500,
  "priority":2,"traffic_split":[{"service":"lm","weight":90},{"service":"lm2","weight":10}],"max_attempts":3,
  "completion_target_ms":18000,"max_wait_s":60,"cap":1800000},
 {"name":"r3","host":"h.example","prefix":"/c/","route_type":"something else"}],
 "services":[{"name":"lm","max_connections":360,"engine":{"slots":8,"cap":12}},{"name":"idx","max_connections":100}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

QByteArray endpointDocument(const char* field = nullptr, const QJsonValue& value = {})
{
    QJsonObject object { { "service", "lm" }, { "address", "10.0.0.1:80" }, { "zone", "z1" }, { "version", "v1" },
        { "slots", 8 }, { "state", "ready" }, { "cold_remaining_ms", 0 }, { "sequence", 4 },
        { "born", qint64 { 1700000000123 } } };
    if (field && value.isUndefined())
        object.remove(QLatin1String(field));
    else if (field)
        object[QLatin1String(field)] = value;
    return QJsonDocument(object).toJson();
}

std::optional<GatewayConfiguration> decodeWith(const char* field, const QJsonValue& value)
{
    QJsonObject object { { "version", 7 }, { "routes", QJsonArray() } };
    object[QLatin1String(field)] = value;
    return PlatformWireFormat().decodeConfiguration(QJsonDocument(object).toJson());
}

}

// Guards against a field of the operator's configuration that is ignored or confused with another.
TEST_CASE("the operator's configuration is decoded")
{
    const auto configuration = PlatformWireFormat().decodeConfiguration(configurationDocument);
    REQUIRE(configuration);
    CHECK(configuration->version == 7);
    REQUIRE(configuration->routes.size() == 3);
    CHECK(configuration->routes[2].name == "r3");
    CHECK_FALSE(configuration->routes[2].isServable());
    const GatewayRoute& stream = configuration->routes[0];
    CHECK(stream.kind == RouteKind::Stream);
    CHECK(stream.isResumable);
    CHECK(stream.maxAttempts == 2);
    CHECK(stream.timeout == Milliseconds { 5'000 });
    CHECK(stream.latencyTarget == Milliseconds { 300 });
    CHECK(stream.gapTarget == Milliseconds { 250 });
    CHECK(stream.shares == std::vector<ServiceShare> { { "lm", 1 } });
    const GatewayRoute& batch = configuration->routes[1];
    CHECK(batch.kind == RouteKind::Batch);
    CHECK(batch.shares == std::vector<ServiceShare> { { "lm", 90 }, { "lm2", 10 } });
    CHECK(batch.completionTarget == Milliseconds { 18'000 });
    CHECK(batch.maxWait == Milliseconds { 60'000 });
    CHECK(batch.maxWaitingTokens == 1'800'000);
    CHECK(configuration->services[0].isEngine);
    CHECK_FALSE(configuration->services[1].isEngine);
    CHECK(configuration->limits.maxBodyBytes == 4'194'304);
    CHECK(configuration->limits.idleTimeout == Milliseconds { 15'000 });
    CHECK_FALSE(PlatformWireFormat().decodeConfiguration("{\"version\":\"7\",\"routes\":[]}"));
    CHECK_FALSE(PlatformWireFormat().decodeConfiguration("no json"));
}

// Guards against rows of other writers that are mistaken for endpoints.
TEST_CASE("a registration with a missing or invalid field is rejected")
{
    const PlatformWireFormat wire;
    const auto record = wire.decodeEndpoint("i-1", endpointDocument());
    REQUIRE(record);
    CHECK(*record == EndpointRecord { "i-1", "10.0.0.1:80", "lm", "z1", 8, false, 1700000000123, 0, "v1" });
    CHECK(wire.decodeEndpoint("i-1", endpointDocument("state", "draining"))->isLeaving);
    for (const char* it : { "service", "address", "zone", "slots", "state" }) {
        CAPTURE(it);
        CHECK_FALSE(wire.decodeEndpoint("i-1", endpointDocument(it, QJsonValue(QJsonValue::Undefined))));
        CHECK_FALSE(wire.decodeEndpoint("i-1", endpointDocument(it, QJsonObject {})));
    }
    CHECK_FALSE(wire.decodeEndpoint("i-1", endpointDocument("state", "resting")));
    CHECK_FALSE(wire.decodeEndpoint("i-1", endpointDocument("slots", 0)));
    CHECK_FALSE(wire.decodeEndpoint("i-1", endpointDocument("born", "yesterday")));
    CHECK_FALSE(wire.decodeEndpoint("i-1", endpointDocument("born", 1.5)));
    CHECK_FALSE(wire.decodeEndpoint("i-1", endpointDocument("version", 2)));
    CHECK(wire.decodeEndpoint("i-1", endpointDocument("version", QJsonValue(QJsonValue::Undefined)))
              ->softwareVersion.empty());
    CHECK_FALSE(wire.decodeEndpoint("i-1", "\xff\xfe"));
}

// Guards against damaged documents that crash the process.
TEST_CASE("damaged documents are decoded without a crash")
{
    const PlatformWireFormat wire;
    SeededRandom random(3);
    for (int n = 0; n < 1000; ++n) {
        QByteArray damaged = random.below(2) == 0 ? configurationDocument : endpointDocument();
        for (int k = 0; k < 3; ++k)
            damaged[static_cast<qsizetype>(random.below(damaged.size()))] = static_cast<char>(random.below(256));
        wire.decodeConfiguration(damaged);
        wire.decodeEndpoint("i", damaged);
    }
    SUCCEED();
}

// Guards against a job whose items differ from the submitted ones.
TEST_CASE("a submitted job is decoded, and one with a malformed item is rejected entirely")
{
    HttpRequest request { "POST", "/b/1", {}, { { "Request-Id", "j1" } }, {}, "/b/1" };
    request.body
        = R"({"items":[{"id":"i1","path":"/b/3/9?x","headers":{"Model":"m"},"body":"q83v","token_count":940}]})";
    const auto job = PlatformWireFormat().decodeSubmission(request);
    REQUIRE(job);
    CHECK(job->jobId == "j1");
    REQUIRE(job->items.size() == 1);
    CHECK(job->items[0] == JobItem { "i1", "/b/3/9?x", { { "Model", "m" } }, QByteArray::fromHex("abcdef"), 940 });
    request.body = R"({"items":[{"id":"i1","path":"/b/3"},{"path":"/b/4"}]})";
    CHECK_FALSE(PlatformWireFormat().decodeSubmission(request));
    request.body = "[]";
    CHECK_FALSE(PlatformWireFormat().decodeSubmission(request));
}

// Guards against job calls that are mistaken for requests to forward.
TEST_CASE("job calls are decoded")
{
    const PlatformWireFormat wire;
    HttpRequest request { "GET", "/api/lots/j1", "after=12", { { "Wait-Ms", "1000" } }, {}, "/api/lots/j1?after=12" };
    CHECK(wire.decodeJobCall(request) == JobCall { JobCall::Kind::ReadResults, "j1", "", 12, Milliseconds { 1'000 } });
    request.method = "DELETE";
    CHECK(wire.decodeJobCall(request)->kind == JobCall::Kind::EndJob);
    const HttpRequest item { "GET", "/api/items/j1", "id=i9", {}, {}, "/api/items/j1?id=i9" };
    CHECK(wire.decodeJobCall(item) == JobCall { JobCall::Kind::ReadItem, "j1", "i9", 0, Milliseconds { 0 } });
    CHECK_FALSE(wire.decodeJobCall({ "GET", "/a/1", {}, {}, {}, "/a/1" }));
}

// Guards against telling a caller that a request did not run without a statement of the endpoint.
TEST_CASE("only a statement of the endpoint shows that a request did not run")
{
    const PlatformWireFormat wire;
    CHECK(wire.decodeAnswerHead(503, { { "Not-Executed", "1" } }).isNotRun);
    CHECK_FALSE(wire.decodeAnswerHead(503, {}).isNotRun);
    CHECK(wire.decodeAnswerHead(200, { { "Server-Leaving", "1" } }).isLeaving);
    CHECK_FALSE(wire.decodeAnswerHead(200, { { "Server-Leaving", "0" } }).isLeaving);
    CHECK_FALSE(wire.decodeAnswerHead(200, {}).isLeaving);
    CHECK(wire.decodeAnswerHead(421, {}).isNotRun);
    CHECK(wire.decodeAnswerHead(421, {}).isMisdirected);
    CHECK_FALSE(wire.decodeAnswerHead(421, {}).instance);
    CHECK(wire.decodeAnswerHead(421, { { "Instance-Id", " i-1 " } }).instance == "i-1");
    CHECK(wire.hasCondition({ { "expect-version", "1" } }));
    CHECK_FALSE(wire.hasCondition({ { "Model", "m" } }));
    CHECK(wire.decodeAnswerHead(200, { { "Server-Load", "3,1,8,250" } }).load == ObservedLoad { 3, 1, 250 });
    CHECK(wire.decodeAnswerHead(200, { { "Server-Load", "3,0,8" } }).load == ObservedLoad { 3, 0, 100 });
    CHECK_FALSE(wire.decodeAnswerHead(200, { { "Server-Load", "busy" } }).load);
}

// Guards against a malformed statement that stops an endpoint or lifts its limit.
TEST_CASE("the rate limit that an endpoint states is decoded, and a malformed one tells nothing")
{
    const PlatformWireFormat wire;
    const auto limit = [&](const QByteArray& value) {
        return wire.decodeAnswerHead(200, { { "Server-Signature", "s" }, { "Server-Limit", value } }).rateLimit;
    };
    CHECK(limit("2.5") == 2.5);
    CHECK(limit(" 3 ") == 3);
    CHECK(limit("0") == 0);
    CHECK(limit("2." + QByteArray(2000, '3')).value() == Approx(7 / 3.0));
    for (const char* it : { "", " ", "-1", "-0.1", "nan", "inf", "1e999", "fast", "2,5", "2.5/s", "0x10" }) {
        CAPTURE(it);
        CHECK_FALSE(limit(it));
    }
    CHECK_FALSE(limit(QByteArray(2000, '9')));
    CHECK(wire.decodeAnswerHead(503, { { "Server-Limit", "1.5" } }).rateLimit == 1.5);
    CHECK(wire.decodeAnswerHead(200, { { "Server-Signature", "s" } }).rateLimit == unlimitedRate);
    CHECK_FALSE(wire.decodeAnswerHead(200, {}).rateLimit);
    CHECK_FALSE(wire.decodeAnswerHead(200, { { "Server-Limit", "0" } }).rateLimit);
    CHECK_FALSE(wire.decodeAnswerHead(503, {}).rateLimit);
    CHECK(wire.decodeAnswerHead(503, { { "Server-Limit", "4" }, { "server-limit", "3" } }).rateLimit == 3);
    CHECK_FALSE(wire.decodeAnswerHead(503, { { "Server-Limit", "4" }, { "Server-Limit", "many" } }).rateLimit);
}

// Guards against a number of slots that reads as 0, by which loads are divided, or as billions.
TEST_CASE("a registration with more slots than an endpoint can have is rejected")
{
    const PlatformWireFormat wire;
    const auto most = wire.decodeEndpoint("i-1", endpointDocument("slots", 65'536));
    REQUIRE(most);
    CHECK(most->slotCount == 65'536);
    for (const double it : { 65'537.0, 4294967295.0, 4294967296.0, 4294967297.0, 9007199254740992.0, 1e300, -1.0 }) {
        CAPTURE(it);
        CHECK_FALSE(wire.decodeEndpoint("i-1", endpointDocument("slots", it)));
    }
}

// Guards against an entry that looks like a silent endpoint, because no connection to its address can be opened.
TEST_CASE("a registration whose address is not an IP address with a port is rejected")
{
    const PlatformWireFormat wire;
    for (const char* it : { "10.0.0.1:1", "10.0.0.1:65535", "[fe80::1]:80" }) {
        CAPTURE(it);
        CHECK(wire.decodeEndpoint("i-1", endpointDocument("address", it)));
    }
    for (const char* it : { "10.0.0.1:0", "10.0.0.1:00", "10.0.0.1:-1", "10.0.0.1:65536", "10.0.0.1:http",
             "10.0.0.1:", "10.0.0.1: 80", "10.0.0.1:80x", "10.0.0.1:4294967376", "10.0.0.256:80", "endpoint.example:80",
             ":80", ":", "[]:80", "[::1]", "::1:80", "[::g]:80" }) {
        CAPTURE(it);
        CHECK_FALSE(wire.decodeEndpoint("i-1", endpointDocument("address", it)));
    }
    const QString withZero = QString("10.0.0.1") + QChar(0) + "x:80";
    CHECK_FALSE(wire.decodeEndpoint("i-1", endpointDocument("address", withZero)));
}

// Guards against a key that adds header fields to the requests to its endpoint.
TEST_CASE("a registration whose key cannot be sent in a header field is rejected")
{
    const PlatformWireFormat wire;
    for (const std::string& it : { std::string(), std::string("i-1\r\nPriority: 0"), std::string("i-1\n"),
             std::string("i\0x", 3), std::string("i\x7f") }) {
        CAPTURE(it);
        CHECK_FALSE(wire.decodeEndpoint(it, endpointDocument()));
    }
}

// Guards against an entry without a start time, which could not be told from the incarnation that has left.
TEST_CASE("a registration whose start time is out of range or that is nested too deeply is rejected")
{
    const PlatformWireFormat wire;
    for (const double it : { 1e300, -1.0, 9007199254740994.0, 0.5 }) {
        CAPTURE(it);
        CHECK_FALSE(wire.decodeEndpoint("i-1", endpointDocument("born", it)));
    }
    const QByteArray sound = endpointDocument().trimmed();
    for (const int depth : { 100, 1'000, 100'000, 10'000'000 }) {
        CAPTURE(depth);
        const QByteArray nested = QByteArray("[").repeated(depth) + QByteArray("]").repeated(depth);
        const auto record = wire.decodeEndpoint("i-1", sound.chopped(1) + ",\"other\":" + nested + '}');
        CHECK(record.has_value() == (depth <= 1'000));
        CHECK_FALSE(wire.decodeEndpoint("i-1", QByteArray("[").repeated(depth)));
    }
}

// Guards against durations that overflow when they are added to a time, and numbers that wrap around.
TEST_CASE("numbers of the configuration that are too large, negative or not whole have defined values")
{
    const auto routeWith = [](const char* field, double value) {
        const QJsonObject route { { "name", "r" }, { "host", "h.example" }, { "prefix", "/a/" },
            { "route_type", "batch" }, { "service", "lm" }, { field, value } };
        const auto configuration = decodeWith("routes", QJsonArray { route });
        REQUIRE(configuration);
        REQUIRE(configuration->routes.size() == 1);
        return configuration->routes[0];
    };
    const auto limitsWith = [](const char* field, double value) {
        const auto configuration = decodeWith("limits", QJsonObject { { field, value } });
        REQUIRE(configuration);
        return configuration->limits;
    };
    constexpr Milliseconds longest = std::chrono::hours { 120 };
    const std::pair<const char*, Milliseconds GatewayRoute::*> durations[]
        = { { "timeout_ms", &GatewayRoute::timeout }, { "target_latency_ms", &GatewayRoute::latencyTarget },
              { "gap_aim_ms", &GatewayRoute::gapTarget }, { "completion_target_ms", &GatewayRoute::completionTarget } };
    for (const auto& [field, member] : durations) {
        CAPTURE(field);
        CHECK(routeWith(field, 1e300).*member == longest);
        CHECK(routeWith(field, 9e18).*member == longest);
        CHECK(routeWith(field, 1.9).*member == Milliseconds { 1 });
        CHECK(routeWith(field, -5).*member == Milliseconds { 0 });
        CHECK(routeWith(field, -1e300).*member == Milliseconds { 0 });
    }
    CHECK(routeWith("max_wait_s", 0.5).maxWait == Milliseconds { 500 });
    CHECK(routeWith("max_wait_s", 1e308).maxWait == longest);
    CHECK(routeWith("max_wait_s", -1).maxWait == Milliseconds { 0 });
    CHECK(routeWith("cap", 1e300).maxWaitingTokens == 9'007'199'254'740'992);
    CHECK(routeWith("cap", -1).maxWaitingTokens == 0);
    CHECK(routeWith("priority", 4294967296.0).priority == 4'294'967'295);
    CHECK(routeWith("priority", -1).priority == 0);
    CHECK(routeWith("priority", 1.5).priority == 1);
    CHECK(routeWith("max_attempts", 4294967296.0).maxAttempts == 4'294'967'295);
    CHECK(routeWith("max_attempts", -1).maxAttempts == 1);
    CHECK(routeWith("max_attempts", 2.5).maxAttempts == 2);
    CHECK(limitsWith("idle_timeout_ms", 1e300).idleTimeout == longest);
    CHECK(limitsWith("idle_timeout_ms", -1).idleTimeout == CallerLimits().idleTimeout);
    CHECK(limitsWith("header_timeout_ms", 1e300).headerTimeout == longest);
    CHECK(limitsWith("max_body_bytes", 1e300).maxBodyBytes == 1'073'741'824);
    CHECK(limitsWith("max_body_bytes", -1).maxBodyBytes == CallerLimits().maxBodyBytes);
    CHECK(limitsWith("max_header_bytes", 1e300).maxHeaderBytes == 1'073'741'824);
}

// Guards against a version after which every later one counts as older.
TEST_CASE("a configuration whose version is negative, too large or not whole is rejected")
{
    CHECK(decodeWith("version", 9007199254740992.0));
    for (const double it : { -1.0, -1e300, 9007199254740994.0, 1e19, 1e300, 1.5 }) {
        CAPTURE(it);
        CHECK_FALSE(decodeWith("version", it));
    }
}

// Guards against items whose numbers of tokens add up to a small number, so that their route has no limit.
TEST_CASE("the number of tokens of a submitted item has bounds")
{
    const auto tokens = [](const QByteArray& number) {
        HttpRequest request { "POST", "/b/1", {}, { { "Request-Id", "j1" } }, {}, "/b/1" };
        request.body = R"({"items":[{"id":"i1","path":"/b/3","token_count":)" + number + "}]}";
        const auto job = PlatformWireFormat().decodeSubmission(request);
        REQUIRE(job);
        return job->items[0].tokens;
    };
    CHECK(tokens("940.5") == 940);
    CHECK(tokens("1e300") == 1'000'000'000);
    CHECK(tokens("18446744073709551615") == 1'000'000'000);
    CHECK(tokens("-1") == 0);
    CHECK(tokens("\"many\"") == 0);
}

// Guards against a caller whose items add lines to the requests that are sent to endpoints.
TEST_CASE("a submitted job whose items would break a request is rejected")
{
    const auto isAccepted = [](const char* field, const QJsonValue& value) {
        QJsonObject item { { "id", "i1" }, { "path", "/b/3?x" }, { "headers", QJsonObject { { "Model", "m 1\t2" } } } };
        item[QLatin1String(field)] = value;
        HttpRequest request { "POST", "/b/1", {}, { { "Request-Id", "j1" } }, {}, "/b/1" };
        request.body = QJsonDocument(QJsonObject { { "items", QJsonArray { item } } }).toJson();
        return PlatformWireFormat().decodeSubmission(request).has_value();
    };
    CHECK(isAccepted("id", "i 1"));
    CHECK_FALSE(isAccepted("id", "i1\r\nDeadline-Ms: 1"));
    CHECK_FALSE(isAccepted("path", "/b/3 HTTP/1.1\r\nDeadline-Ms: 1"));
    CHECK_FALSE(isAccepted("path", "/b/3 4"));
    CHECK_FALSE(isAccepted("path", "/b/3\n"));
    CHECK_FALSE(isAccepted("headers", QJsonObject { { "Model", "m\r\nDeadline-Ms: 1" } }));
    CHECK_FALSE(isAccepted("headers", QJsonObject { { "Model", QString(QChar(0)) } }));
    for (const char* it : { "", "Model\r\nDeadline-Ms", "Mo del", "Model:" }) {
        CAPTURE(it);
        CHECK_FALSE(isAccepted("headers", QJsonObject { { it, "m" } }));
    }
}

// Guards against an entry that sends requests to this machine itself, or to none.
TEST_CASE("a registration whose address names no machine is rejected")
{
    const PlatformWireFormat wire;
    for (const char* it : { "0.0.0.0:80", "[::]:80", "255.255.255.255:80", "224.0.0.1:80", "[ff02::1]:80" }) {
        CAPTURE(it);
        CHECK_FALSE(wire.decodeEndpoint("i-1", endpointDocument("address", it)));
    }
}

// Guards against a deadline that overflows when it is added to a time, so that the request counts as late.
TEST_CASE("the durations that a caller states have bounds")
{
    const PlatformWireFormat wire;
    for (const char* it : { "18446744073709551615", "9223372036854775807", "9223372036854775808", "432000001" }) {
        CAPTURE(it);
        const HttpRequest request { "GET", "/api/lots/j1", {}, { { "Deadline-Ms", it }, { "Wait-Ms", it } }, {},
            "/api/lots/j1" };
        CHECK(wire.decodeRequest(request).deadline == std::chrono::hours { 120 });
        CHECK(wire.decodeJobCall(request)->wait == std::chrono::hours { 120 });
    }
    const HttpRequest request { "GET", "/a/1", {}, { { "Deadline-Ms", "5000" } }, {}, "/a/1" };
    CHECK(wire.decodeRequest(request).deadline == Milliseconds { 5'000 });
}

// Guards against workspaces that are ignored or confused, and against a list that cannot be read and admits everybody.
TEST_CASE("workspaces and their keys are decoded, and what cannot be read admits nobody")
{
    const PlatformWireFormat wire;
    const auto decode = [&](const QByteArray& workspaces) {
        const auto configuration
            = wire.decodeConfiguration(R"({"version":4,"routes":[],"tenants":)" + workspaces + "}");
        REQUIRE(configuration);
        CHECK(configuration->hasWorkspaces);
        return *configuration;
    };
    const auto sound = decode(R"([{"name":"acme","api_keys":["k1","k2"],"priority":1,"requests_per_s":12.5,
        "burst_size":40,"weight":3},{"name":"bolt"}])");
    REQUIRE(sound.workspaces.size() == 2);
    CHECK(sound.workspaces[0].limits == WorkspaceLimits { "acme", 12.5, 40, 3 });
    CHECK(sound.workspaces[0].keyDigests == std::vector { sha256("k1"), sha256("k2") });
    CHECK(sound.workspaces[0].priority == 1U);
    CHECK(sound.workspaces[1].limits == WorkspaceLimits { "bolt", 0, 0, 1 });
    CHECK(sound.workspaces[1].keyDigests.empty());
    CHECK_FALSE(sound.workspaces[1].priority);
    CHECK(sound.faults.empty());

    const auto harmed = decode(R"([7,{"name":5,"api_keys":["k"]},{"name":"a\nb"},{"name":"neg","requests_per_s":-1},
        {"name":"text","burst_size":"many"},{"name":"acme","api_keys":["k1",7,"","a\tb"," k"],"priority":-1},
        {"name":"acme","api_keys":["k3"]},{"name":"list","api_keys":"k4"},{"name":"zero","requests_per_s":0},
        {"name":"huge","requests_per_s":1e300,"burst_size":1e300}])");
    REQUIRE(harmed.workspaces.size() == 4);
    CHECK(harmed.workspaces[0].keyDigests == std::vector { sha256("k1") });
    CHECK_FALSE(harmed.workspaces[0].priority);
    CHECK(harmed.workspaces[1].keyDigests.empty());
    CHECK(harmed.workspaces[2].limits.requestsPerSecond == 0);
    CHECK(harmed.workspaces[3].limits == WorkspaceLimits { "huge", 1e9, 1e9, 1 });
    CHECK(harmed.faults.size() == 8);

    for (const char* it : { "[]", "{}", "null", "7", "\"all\"" })
        CHECK(decode(it).workspaces.empty());
    CHECK_FALSE(wire.decodeConfiguration(configurationDocument)->hasWorkspaces);
    const auto route = decodeWith("routes",
        QJsonArray { QJsonObject { { "name", "r" }, { "allow_anonymous", true } },
            QJsonObject { { "name", "s" }, { "allow_anonymous", "true" } } });
    CHECK(route->routes[0].allowsAnonymous);
    CHECK_FALSE(route->routes[1].allowsAnonymous);
    // A document of many keys, one of them long, is decoded as a whole.
    QByteArray keys = "\"" + QByteArray(100'000, 'x') + "\"";
    for (int n = 0; n < 100'000; ++n)
        keys += ",\"key-" + QByteArray::number(n) + "\"";
    CHECK(decode("[{\"name\":\"acme\",\"api_keys\":[" + keys + "]}]").workspaces[0].keyDigests.size() == 100'001);
}

// Guards against a key that is read from another field, or in part.
TEST_CASE("the key of a request is decoded")
{
    const auto keyOf = [](const HttpHeaders& headers) {
        return PlatformWireFormat().decodeRequest({ "GET", "/a/", {}, headers, {}, "/a/" }).key;
    };
    CHECK(keyOf({ { "Authorization", "Bearer abc" } }) == "abc");
    CHECK(keyOf({ { "authorization", " bearer  abc " } }) == "abc");
    CHECK(keyOf({ { "Authorization", "Basic abc" } }).isEmpty());
    CHECK(keyOf({ { "Authorization", "Bearerabc" } }).isEmpty());
    CHECK(keyOf({ { "Authorization", "Bearer" } }).isEmpty());
    CHECK(keyOf({ { "Authorization", "Bearer a" }, { "Authorization", "Bearer a" } }).isEmpty());
    CHECK(keyOf({}).isEmpty());
}
