#pragma once

#include <LibCore/Clock.h>

#include <QByteArray>
#include <QThread>

#include <memory>
#include <string>

class QNetworkAccessManager;

namespace Chicorydock {

/// Sends HTTP requests to the platform and blocks the caller until the response arrives or the timeout expires.
///
/// Requests run on a thread of this class, so that no event of the calling thread is processed while it waits. Each
/// call has a network access manager of its own, because one manager queues calls beyond its sixth connection. After a
/// failed call its manager is discarded together with its connections, so a dead connection delays one call only.
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

    /// Sends a request and returns the response, whatever its status. A request with a body is sent at most once.
    /// Throws Error(PlatformUnavailable) if no byte of the body was handed to a connection or the method is GET, and
    /// Error(OutcomeUnknown) otherwise.
    Response send(const QByteArray& method, const QByteArray& path, const QByteArray& body = {});

private:
    class Worker;

    QThread m_thread;
    std::unique_ptr<Worker> m_worker;
};

/// Throws the error for a status other than success: Error(PlatformUnavailable) for a 503 whose body names that kind,
/// Error(Conflict) for 409, Error(OutcomeUnknown) for everything else.
[[noreturn]] void throwPlatformError(const BlockingHttp::Response&);

}
