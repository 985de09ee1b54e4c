#pragma once

#include <LibCore/Clock.h>

#include <QtGlobal>

namespace Chicorydock {

/// Limits on the memory and the time that a caller can make the server spend.
struct HttpServerLimits {
    qint64 maxBodyBytes { 16 * 1024 * 1024 };
    /// Limit for the request line, the header fields and the trailer fields of a chunked body together.
    qint64 maxHeaderBytes { 32 * 1024 };
    /// Longest time from the first byte of a request to the end of its header, and longest time without progress for a
    /// caller that does not read its response.
    Milliseconds requestTimeout { 30'000 };
    /// Lowest average rate at which a body may arrive: received bytes extend the deadline of the request at this rate.
    qint64 minBodyBytesPerSecond { 16 * 1024 };
    /// Longest time that a connection stays open between requests.
    Milliseconds idleTimeout { 120'000 };

    bool operator==(const HttpServerLimits&) const = default;
};

}
