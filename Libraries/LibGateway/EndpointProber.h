#pragma once

#include <functional>
#include <string>

namespace Chicorydock {

/// Finds out whether endpoints can be reached, without a request.
class EndpointProber {
public:
    virtual ~EndpointProber() = default;

    /// Opens a connection to `HOST:PORT` and closes it again. `onDone` is called once, later, with whether it opened
    /// within the time limit; not after the prober has been destroyed. Used on one thread with an event loop.
    virtual void probe(const std::string& address, std::function<void(bool isReachable)> onDone) = 0;
};

}
