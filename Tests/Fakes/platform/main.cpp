#include <Tests/Fakes/platform/FakePlatform.h>

#include <QCoreApplication>
#include <QHostAddress>
#include <QTcpServer>

#include <gflags/gflags.h>

#include <cstdio>

DEFINE_string(address, "127.0.0.1:0", "HOST:PORT to listen on; port 0 selects a free port");

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("serves the platform's table service, object store, VM list and weights from memory");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const QCoreApplication application(argc, argv);

    const auto parts = QString::fromStdString(FLAGS_address).split(':');
    const QHostAddress host(parts.value(0));
    bool isNumber = false;
    const quint16 port = parts.value(1).toUShort(&isNumber);
    if (parts.size() != 2 || host.isNull() || !isNumber) {
        std::fprintf(stderr, "address %s is not HOST:PORT\n", FLAGS_address.c_str());
        return 2;
    }
    Chicorydock::FakePlatform platform;
    const quint16 bound = platform.listen(host, port);
    if (bound == 0) {
        std::fprintf(stderr, "cannot listen on %s\n", FLAGS_address.c_str());
        return 1;
    }
    std::printf("{\"address\":\"%s:%u\"}\n", qPrintable(host.toString()), static_cast<unsigned>(bound));
    std::fflush(stdout);
    return QCoreApplication::exec();
}
