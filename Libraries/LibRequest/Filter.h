#pragma once

#include <LibRequest/RequestContext.h>

namespace Chicorydock {

/// One step in the handling of a request. It either sends the response (also by throwing an `Error`) or passes the
/// request to the next filter, immediately or later on the same thread.
///
/// Thread safety: one instance serves one I/O thread.
class Filter {
public:
    virtual ~Filter() = default;

    using Next = std::function<void(const RequestContextPtr&)>;

    /// Handles the request. `next` may be stored and called later, at most once. A thrown Error becomes the response.
    virtual void handle(const RequestContextPtr&, const Next& next) = 0;
};

}
