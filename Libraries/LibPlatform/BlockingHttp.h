#pragma once

#include <LibCore/Clock.h>

#include <QByteArray>
#include <QObject>
#include <QThread>

#include <memory>
#include <string>

namespace Chicorydock {

/// Sends HTTP requests to the platform and blocks the caller until the response arrives or the timeout expires.
///
/// Requests run on a thread of this class, so that no event of the calling thread is processed while it waits. A
/// response that is broken counts as a connection that broke (`HttpResponseReader`). After a timeout, the idle
/// connections are closed, so that a dead connection delays one call only.
///
/// Thread safety: `send()` may be called from any thread. Precondition of destruction: no call is running.
class BlockingHttp {
public:
    struct Response {
        int status { 0 };
        QByteArray body;
    };

    /// `address` is `HOST:PORT`; `failureDomain` is sent as `X-Failure-Domain` unless it is empty.
    BlockingHttp(const std::string& address, Milliseconds timeout, const std::string& failureDomain);
    ~BlockingHttp();

    BlockingHttp(const BlockingHttp&) = delete;
    BlockingHttp& operator=(const BlockingHttp&) = delete;

    /// Sends a request and returns the response, whatever its status. A request with the method GET is sent once more,
    /// on a new connection, if its connection ends before the response; any other is sent at most once. Throws
    /// Error(PlatformUnavailable) if no byte of it was handed to a connection or the method is GET, and
    /// Error(OutcomeUnknown) otherwise.
    Response send(const QByteArray& method, const QByteArray& path, const QByteArray& body = {});

private:
    class Worker;

    QThread m_thread;
    /// Lives on the thread, which runs the functions that are sent to it.
    QObject m_context;
    std::unique_ptr<Worker> m_worker;
};

/// Throws the error for a status other than success: Error(PlatformUnavailable) for a 503 whose body names that kind,
/// Error(Conflict) for 409, Error(OutcomeUnknown) for everything else.
[[noreturn]] void throwPlatformError(const BlockingHttp::Response&);

}
