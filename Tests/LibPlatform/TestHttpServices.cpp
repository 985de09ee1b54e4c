#include <LibCore/Error.h>
#include <LibPlatform/HttpObjectStore.h>
#include <LibPlatform/HttpTableService.h>
#include <LibPlatform/HttpVmList.h>
#include <Tests/Fakes/platform/FakePlatform.h>

#include <QHostAddress>
#include <QJsonArray>
#include <QThread>

#include <catch2/catch.hpp>

#include <thread>

using namespace Chicorydock;

namespace {

/// A fake platform on a thread of its own, since the clients block the thread of the test.
class RunningPlatform {
public:
    RunningPlatform()
    {
        m_platform = std::make_unique<FakePlatform>();
        m_platform->moveToThread(&m_thread);
        m_thread.start();
        run([this] { m_port = m_platform->listen(QHostAddress::LocalHost, 0); });
    }

    ~RunningPlatform()
    {
        run([this] { m_platform.reset(); });
        m_thread.quit();
        m_thread.wait();
    }

    template <typename Function> void run(Function function)
    {
        QMetaObject::invokeMethod(m_platform.get(), function, Qt::BlockingQueuedConnection);
    }

    void control(const QJsonObject& settings)
    {
        run([&] { m_platform->control(settings); });
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    FakePlatform& platform() { return *m_platform; }

private:
    QThread m_thread;
    std::unique_ptr<FakePlatform> m_platform;
    quint16 m_port { 0 };
};

template <typename Function> ErrorKind errorOf(Function function)
{
    try {
        function();
    } catch (const Error& error) {
        return error.kind();
    }
    FAIL("no error was thrown");
    return ErrorKind::Internal;
}

constexpr Milliseconds longTimeout { 60'000 };
constexpr Milliseconds shortTimeout { 200 };

}

// Guards against calls that lose or change content between client and platform.
TEST_CASE("tables, objects and the VM list work over HTTP")
{
    RunningPlatform running;
    HttpTableService tables(running.address(), longTimeout);
    const auto result = tables.commit({ Operation::insert("t", "a/1", "\xff"), Operation::insert("t", "a/2", "x") });
    REQUIRE(result.committed);
    CHECK(tables.get("t", "a/1") == Row { "a/1", "\xff", result.versions[0] });
    CHECK_FALSE(tables.get("t", "b"));
    CHECK(tables.scan("t", "a/", "a/1", 10) == std::vector<Row> { { "a/2", "x", result.versions[1] } });
    CHECK_FALSE(tables.commit({ Operation::insert("t", "a/1", "y") }).committed);

    HttpObjectStore objects(running.address(), longTimeout);
    const std::string name = "result/job 1/%41";
    objects.put(name, std::string("\0\xff", 2));
    CHECK(objects.get(name) == std::string("\0\xff", 2));
    CHECK(errorOf([&] { objects.put(name, "other"); }) == ErrorKind::Conflict);
    objects.put("empty", "");
    CHECK(objects.get("empty") == "");
    objects.remove(name);
    CHECK_FALSE(objects.get(name));

    running.control({ { "vms",
        QJsonArray { QJsonObject { { "id", "vm-1" }, { "role", "endpoint" }, { "address", "127.0.0.1:1" },
            { "region", "bajio" }, { "failure_domain", "bajio-1" }, { "service", "flag assistant" } } } } });
    HttpVmList vms(running.address(), longTimeout);
    while (vms.list().empty())
        std::this_thread::yield();
    CHECK(vms.list()[0].service == "flag assistant");
}

// Guards against a client that reports a write as not executed although it took effect, or the reverse.
TEST_CASE("the client distinguishes a refused write from a write with unknown outcome")
{
    RunningPlatform running;
    HttpTableService tables(running.address(), longTimeout);
    running.control({ { "outage", true } });
    CHECK(errorOf([&] { tables.commit({ Operation::insert("t", "a", "1") }); }) == ErrorKind::PlatformUnavailable);
    CHECK(errorOf([&] { tables.get("t", "a"); }) == ErrorKind::PlatformUnavailable);

    running.control({ { "outage", false }, { "lost_once", 1 } });
    CHECK(errorOf([&] { tables.commit({ Operation::insert("t", "a", "1") }); }) == ErrorKind::OutcomeUnknown);
    CHECK(tables.get("t", "a")->value == "1");

    HttpTableService unreachable("127.0.0.1:1", longTimeout);
    CHECK(errorOf([&] { unreachable.commit({ Operation::insert("t", "a", "1") }); }) == ErrorKind::PlatformUnavailable);
}

// Guards against Qt resending a request whose connection closed before the response.
TEST_CASE("a write whose connection closes is not sent twice")
{
    RunningPlatform running;
    HttpTableService tables(running.address(), longTimeout);
    // The first call leaves a connection open, because Qt resends requests on connections that were used before.
    tables.get("t", "a");
    const uint64_t before = running.platform().tables().writes();
    running.control({ { "lost_once", 1 } });
    CHECK(errorOf([&] { tables.commit({ Operation::put("t", "a", "1") }); }) == ErrorKind::OutcomeUnknown);
    CHECK(running.platform().tables().writes() == before + 1);
}

// Guards against calls that wait for a connection that no longer responds.
TEST_CASE("after a connection stops responding the next call uses a new one")
{
    RunningPlatform running;
    HttpTableService tables(running.address(), shortTimeout);
    tables.get("t", "a");
    running.control({ { "silence", true } });
    CHECK(errorOf([&] { tables.get("t", "a"); }) == ErrorKind::PlatformUnavailable);
    CHECK_FALSE(tables.get("t", "a"));
}

// Guards against an outage of one failure domain that also affects the others.
TEST_CASE("a failure domain can be cut off by itself")
{
    RunningPlatform running;
    HttpTableService near(running.address(), longTimeout, "bajio-1");
    HttpTableService far(running.address(), shortTimeout, "noroeste-1");
    running.control({ { "cut_domains", QJsonArray { "noroeste-1" } } });
    CHECK_FALSE(near.get("t", "a"));
    CHECK(errorOf([&] { far.get("t", "a"); }) == ErrorKind::PlatformUnavailable);
    running.control({ { "cut_domains", QJsonArray {} } });
    CHECK_FALSE(far.get("t", "a"));
}
