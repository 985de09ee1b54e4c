#include <LibCore/Error.h>
#include <Tests/Fakes/service/FakeService.h>

#include <QCoreApplication>

#include <gflags/gflags.h>

#include <cstdio>

DEFINE_string(address, "127.0.0.1:0", "HOST:PORT to listen on; port 0 selects a free port");
DEFINE_uint32(delay_ms, 0, "time before a response, in ms");

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("serves any path as a plain service and counts the calls");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const QCoreApplication application(argc, argv);
    Chicorydock::FakeService service(Chicorydock::Milliseconds { FLAGS_delay_ms });
    try {
        const unsigned port = service.listen(FLAGS_address);
        const std::string host = FLAGS_address.substr(0, FLAGS_address.rfind(':'));
        std::printf("{\"address\":\"%s:%u\"}\n", host.c_str(), port);
        std::fflush(stdout);
    } catch (const Chicorydock::Error& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return 1;
    }
    return QCoreApplication::exec();
}
