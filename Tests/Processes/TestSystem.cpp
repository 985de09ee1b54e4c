#include "TestSystem.h"

#include <LibCore/Digest.h>

#include <Tests/Support/WaitFor.h>
#include <catch2/catch.hpp>

#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>

namespace Chicorydock {

namespace {

    // Failure domains `d1` and `d2` are in region `r1`; every other one is in its own region.
    QString regionOf(const std::string& failureDomain)
    {
        return failureDomain == "d1" || failureDomain == "d2" ? "r1" : "r-" + QString::fromStdString(failureDomain);
    }

}

TestSystem::TestSystem()
{
    // Keeps the logs of failing tests for inspection on request.
    m_folder.setAutoRemove(qEnvironmentVariableIsEmpty("KEEP_TEST_LOGS"));
    m_platform = std::make_unique<TestProcess>("fake-platform", QStringList {}, logFile("platform"));
}

std::string TestSystem::addNode(const std::string& failureDomain, const QString& extraSettings)
{
    const std::string id = "node-" + std::to_string(++m_lastNumber);
    Entry entry;
    entry.failureDomain = QString::fromStdString(failureDomain);
    entry.extraSettings = extraSettings;
    startNode(id, entry);
    if (!m_isConfigured) {
        operatorOf(id).apply(configuration(), 0);
        m_isConfigured = true;
    }
    return id;
}

void TestSystem::startNode(const std::string& id, const Entry& entry)
{
    const QString name = QString::fromStdString(id);
    const QString region = regionOf(entry.failureDomain.toStdString());
    QFile file(m_folder.filePath(name + ".toml"));
    REQUIRE(file.open(QIODevice::WriteOnly));
    file.write(QString("[node]\nid = \"%1\"\nregion = \"%2\"\nfailure_domain = \"%3\"\n"
                       "[http]\naddress = \"127.0.0.1:0\"\ndrain_delay_ms = 200\n"
                       "[rpc]\naddress = \"127.0.0.1:0\"\nseeds = [%5]\n"
                       "[platform]\naddress = \"%4\"\ntimeout_ms = 500\n"
                       "[batch]\nchunk_items = 10\nlease_ms = 3000\n%6")
                   .arg(name, region, entry.failureDomain, QString::fromStdString(platformAddress()), seeds(),
                       entry.extraSettings)
                   .toUtf8());
    file.close();
    m_operators.erase(id);
    m_processes[id]
        = std::make_unique<TestProcess>("chicorydockd", QStringList { "--settings=" + file.fileName() }, logFile(id));
    Entry stored = entry;
    stored.vm = { { "id", name }, { "role", "entry" },
        { "address", QString::fromStdString(process(id).ready("rpc_address")) }, { "region", region },
        { "failure_domain", entry.failureDomain } };
    m_entries[id] = stored;
    publishVmList();
}

QString TestSystem::seeds() const
{
    QStringList addresses;
    for (const auto& [id, entry] : m_entries) {
        if (entry.vm.value("role") == "entry")
            addresses.append('"' + entry.vm.value("address").toString() + '"');
    }
    return addresses.join(", ");
}

void TestSystem::restartNode(const std::string& id)
{
    const Entry entry = m_entries.at(id);
    startNode(id, entry);
}

std::string TestSystem::addEngine(const std::string& failureDomain, const QStringList& arguments)
{
    return addEndpoint("engine", "fake-engine", failureDomain, QStringList { "--base_gap_ms=2" } + arguments);
}

std::string TestSystem::addService(const std::string& failureDomain)
{
    return addEndpoint("ledger", "fake-service", failureDomain, {});
}

std::string TestSystem::addEndpoint(
    const std::string& service, const QString& program, const std::string& failureDomain, const QStringList& arguments)
{
    const std::string id = service + '-' + std::to_string(++m_lastNumber);
    m_processes[id] = std::make_unique<TestProcess>(program, arguments, logFile(id));
    Entry entry;
    entry.failureDomain = QString::fromStdString(failureDomain);
    entry.vm = { { "id", QString::fromStdString(id) }, { "role", "endpoint" },
        { "address", QString::fromStdString(address(id)) }, { "service", QString::fromStdString(service) },
        { "region", regionOf(failureDomain) }, { "failure_domain", entry.failureDomain } };
    m_entries[id] = entry;
    publishVmList();
    return id;
}

std::string TestSystem::address(const std::string& id) const
{
    const TestProcess& it = *m_processes.at(id);
    return id.starts_with("node-") ? it.ready("http_address") : it.ready("address");
}

OperatorClient& TestSystem::operatorOf(const std::string& node)
{
    auto& client = m_operators[node];
    if (!client || client->hasLostConnection())
        client = std::make_unique<OperatorClient>(process(node).ready("rpc_address"), OperatorClient::Timeouts {});
    return *client;
}

void TestSystem::markLeaving(const std::string& id)
{
    m_entries.at(id).vm["leaving"] = true;
    publishVmList();
}

void TestSystem::removeFromVmList(const std::string& id)
{
    m_entries.erase(id);
    publishVmList();
}

void TestSystem::publishVmList()
{
    QJsonArray vms;
    for (const auto& [id, entry] : m_entries)
        vms.append(entry.vm);
    control({}, { { "vms", vms } });
}

void TestSystem::control(const std::string& id, const QJsonObject& body)
{
    HttpCallRequest request;
    request.address = id.empty() ? platformAddress() : address(id);
    request.method = "POST";
    request.target = "/control";
    request.body = QJsonDocument(body).toJson();
    request.freshConnection = true;
    TestCall call(m_client, request);
    REQUIRE(call.wait().status() == 200);
}

QJsonObject TestSystem::counters(const std::string& id)
{
    HttpCallRequest request;
    request.address = id.empty() ? platformAddress() : address(id);
    request.method = "GET";
    request.target = "/control";
    request.freshConnection = true;
    TestCall call(m_client, request);
    REQUIRE(call.wait().status() == 200);
    return call.json();
}

void TestSystem::waitUntilReady(const std::string& node, size_t engines)
{
    REQUIRE(waitFor([&] { return call(node, "GET", "/readyz")->wait().status() == 200; }));
    REQUIRE(waitFor([&] {
        const auto endpoints = operatorOf(node).endpoints();
        // Only endpoints that the scheduler uses have a limit.
        const auto isUsed = [](const EndpointStatus& it) { return it.service == "engine" && it.limit > 0; };
        return static_cast<size_t>(std::ranges::count_if(endpoints, isUsed)) >= engines;
    }));
}

std::unique_ptr<TestCall> TestSystem::call(const std::string& id, const QByteArray& method, const QByteArray& target,
    const QByteArray& body, HttpHeaders headers)
{
    headers.add("Authorization", "Bearer key");
    HttpCallRequest request;
    request.address = address(id);
    request.method = method;
    request.target = target;
    request.headers = headers;
    request.body = body;
    request.progressTimeout = Milliseconds { 60'000 };
    return std::make_unique<TestCall>(m_client, request);
}

std::unique_ptr<TestCall> TestSystem::post(
    const std::string& node, const QByteArray& target, const QJsonObject& body, const HttpHeaders& headers)
{
    HttpHeaders all = headers;
    all.add("Content-Type", "application/json");
    return call(node, "POST", target, QJsonDocument(body).toJson(QJsonDocument::Compact), all);
}

Configuration TestSystem::configuration()
{
    Configuration configuration;
    configuration.requestId = "first";
    configuration.author = "test";
    configuration.services = { { "engine", Service::Kind::Engine }, { "ledger", Service::Kind::Plain } };
    configuration.services[1].unrepeatableRoutes = { "POST /certificates" };
    configuration.models = { { "m", "engine", "1" } };
    configuration.workspaces = { { "w", { sha256Hex("key") } } };
    return configuration;
}

QJsonObject TestSystem::completion(const QString& prompt, int maxTokens, bool isStream)
{
    return { { "model", "m" }, { "prompt", prompt }, { "max_tokens", maxTokens }, { "stream", isStream } };
}

std::string TestSystem::jobLines(int count, int maxTokens)
{
    QByteArray lines;
    for (int n = 0; n < count; ++n) {
        const QJsonObject line { { "custom_id", "item-" + QString::number(n) }, { "method", "POST" },
            { "url", "/v1/completions" }, { "body", completion("prompt " + QString::number(n), maxTokens) } };
        lines += QJsonDocument(line).toJson(QJsonDocument::Compact) + '\n';
    }
    return lines.toStdString();
}

QString TestSystem::logFile(const std::string& id) const
{
    return m_folder.filePath(QString::fromStdString(id) + ".log");
}

}
