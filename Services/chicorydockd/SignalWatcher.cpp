#include "SignalWatcher.h"

#include <LibCore/Error.h>

#include <array>
#include <atomic>
#include <csignal>
#include <ctime>

#include <sys/socket.h>
#include <unistd.h>

namespace Chicorydock {

namespace {

    // Global, because a signal handler can access only global state. It writes to one end; the event loop reads the
    // other.
    std::array<int, 2> signalSockets { -1, -1 };

    constexpr char terminateByte = 'T';
    constexpr char reloadByte = 'H';

    /// When the first termination signal arrived, in ticks of the monotonic clock, or 0. The time at which the event
    /// loop handles it may be later.
    std::atomic<MonotonicTime::rep> terminationTime { 0 };
    static_assert(std::atomic<MonotonicTime::rep>::is_always_lock_free, "a signal handler cannot wait for a lock");

    void recordTermination()
    {
        timespec time {};
        clock_gettime(CLOCK_MONOTONIC, &time);
        const auto sinceEpoch = std::chrono::seconds { time.tv_sec } + std::chrono::nanoseconds { time.tv_nsec };
        MonotonicTime::rep none = 0;
        terminationTime.compare_exchange_strong(none, MonotonicTime::duration(sinceEpoch).count());
    }

    void writeSignal(int signal)
    {
        if (signal != SIGHUP)
            recordTermination();
        const char byte = signal == SIGHUP ? reloadByte : terminateByte;
        [[maybe_unused]] const ssize_t n = write(signalSockets[0], &byte, 1);
    }

}

SignalWatcher::SignalWatcher(std::function<void(MonotonicTime arrival)> onTerminate, std::function<void()> onReload)
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
    m_onTerminate(MonotonicTime { MonotonicTime::duration { terminationTime.load() } });
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
