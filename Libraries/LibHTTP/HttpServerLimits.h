#pragma once

#include <LibCore/Clock.h>

#include <QtGlobal>

namespace Chicorydock {

/// Bounds on what a caller can make the server hold and wait for.
struct HttpServerLimits {
    qint64 maxBodyBytes { 16 * 1024 * 1024 };
    /// Request line, header fields and, of a chunked body, the trailer fields.
    qint64 maxHeaderBytes { 32 * 1024 };
    /// Longest time from the first byte of a request to the end of its header, and longest time without progress for
    /// a caller that does not read its answer.
    Milliseconds requestTimeout { 30'000 };
    /// Slowest rate at which a body may arrive; it extends the time that a request may take.
    qint64 minBodyBytesPerSecond { 16 * 1024 };
    /// Longest time that a connection stays open between requests.
    Milliseconds idleTimeout { 120'000 };

    bool operator==(const HttpServerLimits&) const = default;
};

}
