#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/JobHead.h>
#include <LibPlatform/TableFollower.h>

namespace Chicorydock {

/// How old the views of a node may be that it gets from feeds of the store, and the waits that follow from it. A
/// connection to the store may go silent without being closed, in particular right after a feed has asked for changes;
/// the feed notices that only when its call has timed out. Each promise with a time limit that depends on a view
/// therefore limits the sum of all those times.
namespace FeedTiming {

    /// Longest time without a response of the store, which usually responds within 5 ms.
    constexpr Milliseconds storeTimeout { 700 };

    /// Time for the call after a silent one, on a new connection, and for what its rows change on a busy node.
    constexpr Milliseconds responseTime { 100 };

    /// Ended jobs: their items must not reach an endpoint later than 3 s after the end was acknowledged. The tokens
    /// that count against the quota of a route are as old.
    constexpr Milliseconds maxJobViewAge { 2'700 };

    /// Endpoints that leave: they must not get requests later than 2.5 s after the store has it.
    constexpr Milliseconds maxEndpointViewAge { 2'100 };

    /// Configurations: they must be in force within 2.5 s, and take time to read.
    constexpr Milliseconds maxConfigurationViewAge { 1'900 };

    /// Returns how long a feed may wait for changes so that its view is never older while the store can be reached.
    constexpr Milliseconds waitFor(Milliseconds maxViewAge)
    {
        return maxViewAge - storeTimeout - TableFollower::minRetryDelay - responseTime;
    }

    /// Time that a source of a failure domain may add to the wait of a feed before a node asks the store itself. It
    /// covers a call to the source, what the source does for many nodes at once, and the interval of its answers.
    constexpr Milliseconds maxSourceDelay { 300 };

    /// Longest time within which a node must know that an endpoint leaves.
    constexpr Milliseconds maxLeavingTime { 2'500 };

    // A node whose source is silent asks the store after the wait and that delay, on a connection that may be silent
    // too. With the other terms of `waitFor()`, the sum is the age of its view.
    static_assert(maxEndpointViewAge + maxSourceDelay <= maxLeavingTime);

    /// Delay by which the changes of many items are read together.
    constexpr Milliseconds jobChangeDelay { 700 };

    /// Returns the feed of the jobs.
    inline TableFollower::Options jobFeed()
    {
        return { JobRows::recordTable, JobRows::partitions(), waitFor(maxJobViewAge), jobChangeDelay };
    }

}

}
