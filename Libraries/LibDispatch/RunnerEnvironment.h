#pragma once

#include <LibCore/DeadlineQueue.h>
#include <LibCore/Post.h>
#include <LibDispatch/Dispatcher.h>
#include <LibEndpoint/EndpointClient.h>
#include <LibLog/EventLog.h>

namespace Chicorydock {

/// The services shared by the runners of one thread. All references outlive the runners.
struct RunnerEnvironment {
    const Clock& clock;
    Dispatcher& dispatcher;
    EndpointClient& client;
    DeadlineQueue& deadlines;
    EventLog& eventLog;
    /// Runs functions on the thread of the runners.
    Post post;
    /// Longest silence of an endpoint before its connection counts as failed.
    Milliseconds progressTimeout { 10'000 };
};

}
