#include "SignalWatcher.h"

#include <LibCore/Error.h>

#include <array>
#include <csignal>

#include <sys/socket.h>
#include <unistd.h>

namespace Chicorydock {

namespace {

    // Global, because a signal handler can access only global state. It writes to one end; the event loop reads the
    // other.
    std::array<int, 2> signalSockets { -1, -1 };

    constexpr char terminateByte = 'T';
    constexpr char reloadByte = 'H';

    void writeSignal(int signal)
    {
        const char byte = signal == SIGHUP ? reloadByte : terminateByte;
        [[maybe_unused]] const ssize_t n = write(signalSockets[0], &byte, 1);
    }

}

SignalWatcher::SignalWatcher(std::function<void()> onTerminate, std::function<void()> onReload)
    : m_onTerminate(std::move(onTerminate))
    , m_onReload(std::move(onReload))
{
    if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, signalSockets.data()) != 0)
        throw Error { ErrorKind::Internal, "could not create the socket pair for signals" };
    m_notifier = std::make_unique<QSocketNotifier>(signalSockets[1], QSocketNotifier::Read);
    QObject::connect(m_notifier.get(), &QSocketNotifier::activated, m_notifier.get(), [this] {
        char byte = 0;
        while (read(signalSockets[1], &byte, 1) > 0)
            handle(byte);
    });
    struct sigaction action = {};
    action.sa_handler = writeSignal;
    action.sa_flags = SA_RESTART;
    sigaction(SIGTERM, &action, nullptr);
    sigaction(SIGINT, &action, nullptr);
    if (m_onReload)
        sigaction(SIGHUP, &action, nullptr);
}

void SignalWatcher::handle(char signalByte)
{
    if (signalByte == reloadByte) {
        m_onReload();
        return;
    }
    if (m_wasSignalled)
        return;
    m_wasSignalled = true;
    m_onTerminate();
}

SignalWatcher::~SignalWatcher()
{
    std::signal(SIGTERM, SIG_DFL);
    std::signal(SIGINT, SIG_DFL);
    if (m_onReload)
        std::signal(SIGHUP, SIG_DFL);
    m_notifier.reset();
    for (const int socket : signalSockets)
        close(socket);
}

}
