#pragma once

#include <LibCore/DeadlineQueue.h>
#include <LibCore/Post.h>
#include <LibDispatch/Dispatcher.h>
#include <LibEndpoint/EndpointClient.h>
#include <LibLog/EventLog.h>

namespace Chicorydock {

/// What the runners of one thread share. All references outlive the runners.
struct RunnerEnvironment {
    const Clock& clock;
    Dispatcher& dispatcher;
    EndpointClient& client;
    DeadlineQueue& deadlines;
    EventLog& eventLog;
    /// Reaches the thread of the runners.
    Post post;
    /// Longest silence of an endpoint before its connection is given up.
    Milliseconds progressTimeout { 10'000 };
};

}
