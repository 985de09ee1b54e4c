#pragma once

#include <LibHTTP/HttpMessage.h>

namespace Chicorydock {

/// Status and header fields of a response.
struct ResponseHead {
    int status { 0 };
    HttpHeaders headers;

    /// Returns whether the body is a stream of events. A body whose type is not stated is taken for one.
    bool isEventStream() const;

    bool operator==(const ResponseHead&) const = default;
};

}
