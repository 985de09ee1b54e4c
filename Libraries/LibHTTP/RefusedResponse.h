#pragma once

#include <functional>
#include <string>

namespace Chicorydock {

/// A response that a client refused: it is not valid HTTP, has no end, or cannot be the one to the request.
struct RefusedResponse {
    /// `HOST:PORT` of the server.
    std::string address;
    /// Why, in words that contain no bytes of the response.
    std::string problem;

    bool operator==(const RefusedResponse&) const = default;
};

using RefusedResponseHandler = std::function<void(const RefusedResponse&)>;

}
