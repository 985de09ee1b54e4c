#pragma once

#include <LibRequest/RequestContext.h>

namespace Chicorydock {

/// One step of the treatment of a request. It answers the request (also by throwing an `Error`), or passes it on, at
/// once or later on the same thread.
///
/// Thread safety: one instance serves one I/O thread.
class Filter {
public:
    virtual ~Filter() = default;

    using Next = std::function<void(const RequestContextPtr&)>;

    /// Treats the request. `next` may be kept and called later, at most once. Throws Error to answer with it.
    virtual void handle(const RequestContextPtr&, const Next& next) = 0;
};

}
