#pragma once

#include <LibHTTP/HttpMessage.h>

namespace Chicorydock {

/// Status and header fields of a response.
struct ResponseHead {
    int status { 0 };
    HttpHeaders headers;

    bool operator==(const ResponseHead&) const = default;
};

}
