#include "Daemon.h"
#include "Gateway.h"
#include "SignalWatcher.h"

#include <LibLog/JsonLogSink.h>
#include <LibSettings/SettingsLoader.h>

#include <QCoreApplication>
#include <QJsonDocument>

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <cstdio>

DEFINE_string(settings, "", "TOML file with the settings of this node");
DEFINE_string(memory_mb, "", "memory of the machine in megabytes, instead of gateway.memory_mb of the settings");
DEFINE_string(max_descriptors, "", "descriptors that the process may open, instead of gateway.max_descriptors");
DEFINE_string(check_settings, "", "check this settings file, report every problem, and exit");

namespace {

// Exit status for invalid settings or flags.
constexpr int usageStatus = 2;

int fail(int status, const std::string& message)
{
    std::fprintf(stderr, "%s\n", message.c_str());
    return status;
}

/// Runs a gateway node. Used if the settings have a `gateway` table.
int serveGateway(int argc, char** argv, const Chicorydock::Settings& settings)
{
    using namespace Chicorydock;
    const QCoreApplication application(argc, argv);
    const JsonLog log(settings.log.level, settings.node.id, settings.node.failureDomain);
    try {
        Gateway gateway(settings);
        const SignalWatcher watcher(
            [&](MonotonicTime arrival) { gateway.beginStop(arrival, [] { QCoreApplication::quit(); }); },
            [&] { gateway.recordReload(); });
        gateway.start();
        return QCoreApplication::exec();
    } catch (const Error& error) {
        LOG(ERROR) << "could not start: " << error.message();
        return 1;
    }
}

int serve(int argc, char** argv, const Chicorydock::Settings& settings)
{
    using namespace Chicorydock;
    const QCoreApplication application(argc, argv);
    const JsonLog log(settings.log.level, settings.node.id, settings.node.failureDomain);
    try {
        Daemon daemon(settings);
        const SignalWatcher watcher([&](MonotonicTime) { daemon.beginStop([] { QCoreApplication::quit(); }); });
        daemon.start();
        const QJsonObject ready {
            { "node", QString::fromStdString(settings.node.id) },
            { "http_address", QString::fromStdString(daemon.httpAddress()) },
            { "rpc_address", QString::fromStdString(daemon.rpcAddress()) },
        };
        std::printf("%s\n", QJsonDocument(ready).toJson(QJsonDocument::Compact).constData());
        std::fflush(stdout);
        return QCoreApplication::exec();
    } catch (const Error& error) {
        LOG(ERROR) << "could not start: " << error.message();
        return 1;
    }
}

}

int main(int argc, char** argv)
{
    // Qt's own event dispatcher needs fewer system calls and locks for each event than the one based on GLib.
    qputenv("QT_NO_GLIB", "1");
    gflags::SetUsageMessage("serves online and batch inference on one fleet of endpoints\n\n"
                            "  chicorydockd --settings=FILE [--memory_mb=NUMBER] [--max_descriptors=NUMBER]\n"
                            "  chicorydockd --check_settings=FILE");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc > 1)
        return fail(usageStatus, std::string("unexpected argument '") + argv[1] + "'; see --help");
    const bool isCheck = !FLAGS_check_settings.empty();
    const std::string file = isCheck ? FLAGS_check_settings : FLAGS_settings;
    if (file.empty())
        return fail(usageStatus, "--settings=FILE is required; see --help");
    try {
        Chicorydock::Settings settings = Chicorydock::loadSettings(file);
        if (!FLAGS_memory_mb.empty())
            Chicorydock::setMemory(settings, FLAGS_memory_mb);
        if (!FLAGS_max_descriptors.empty())
            Chicorydock::setMaxDescriptors(settings, FLAGS_max_descriptors);
        if (!isCheck)
            return settings.gateway ? serveGateway(argc, argv, settings) : serve(argc, argv, settings);
        std::printf("%s: the settings are valid\n", file.c_str());
        return 0;
    } catch (const Chicorydock::Error& error) {
        return fail(usageStatus, error.message());
    }
}
