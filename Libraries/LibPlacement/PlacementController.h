#pragma once

#include <LibCore/Post.h>
#include <LibCore/Random.h>
#include <LibEndpoint/EndpointClient.h>
#include <LibPlacement/PlacementLease.h>
#include <LibPlacement/PlacementPlan.h>

#include <set>

namespace Chicorydock {

/// Receives the events of the placement, for the timeline.
class PlacementObserver {
public:
    virtual ~PlacementObserver() = default;

    virtual void onLeaseAcquired(uint64_t epoch) = 0;
    virtual void onLeaseLost(uint64_t epoch) = 0;
    virtual void onOrderSent(const PlacementEndpoint&, const EndpointOrder&) = 0;
    virtual void onOrderEnded(const PlacementEndpoint&, const EndpointOrder&, OrderOutcome) = 0;
};

/// Reconciles the models on the endpoints of one failure domain with those that the configuration declares, while it
/// holds the domain's lease. Orders are desired states: the endpoints are observed again after each order and
/// periodically, and differences are repaired, whatever caused them.
///
/// Thread safety: none; belongs to the controllers' thread. The lease is written through a `Post` to a platform thread.
class PlacementController {
public:
    struct Options {
        Milliseconds leaseDuration { 15'000 };
        Milliseconds renewalInterval { 4'000 };
        /// Mean time between two attempts to acquire the lease. At 340 nodes this is 34 reads/s of the store's 2,000.
        Milliseconds acquireInterval { 10'000 };
        /// Time before the end of the lease in which no orders are sent, because an order takes time to arrive.
        Milliseconds leaseMargin { 3'000 };
        /// Time after the sending of an order from which on it can no longer take effect.
        Milliseconds maxOrderDuration { 120'000 };
        Milliseconds observeInterval { 15'000 };
        Milliseconds firstRetryDelay { 1'000 };
        Milliseconds maxRetryDelay { 60'000 };
        /// The weight store is rate limited, so that many concurrent loads would all be slow.
        size_t maxOrdersInFlight { 4 };
        size_t maxReadsInFlight { 16 };
        /// Consecutive failed reads after which the replicas of an endpoint are placed on others.
        uint32_t maxFailedReads { 3 };
    };

    /// `platform` runs a function on a platform thread, `controllers` on the controllers' thread. The references
    /// outlive the controller.
    PlacementController(const Clock&, Random&, EndpointClient&, PlacementObserver&, std::shared_ptr<PlacementLease>,
        Post platform, Post controllers, Options);

    /// Sets the desired state.
    void setConfiguration(std::shared_ptr<const Configuration> configuration);

    /// Sets the endpoints of the domain that are live and not leaving. Precondition: none belongs to a plain service.
    void setEndpoints(const std::vector<PlacementEndpoint>&);

    /// Starts the lease calls, reads and orders that are due. Called several times a second.
    void tick(MonotonicTime now);

    /// Sends no more orders, and releases the lease once none is in flight.
    void stop();

    /// Returns whether orders may be sent now.
    bool holdsLease() const;

private:
    struct Target {
        PlacementEndpoint endpoint;
        std::optional<EndpointState> observed;
        MonotonicTime readStarted;
        MonotonicTime nextRead;
        MonotonicTime nextOrder;
        MonotonicTime orderStarted;
        Milliseconds retryDelay { 0 };
        uint32_t failedReads { 0 };
        bool unloadsFirst { false };
        std::unique_ptr<HttpCall> read;
        std::unique_ptr<HttpCall> order;
        EndpointOrder sentOrder;
    };

    void renewLease(MonotonicTime now);
    void updateLease(const std::optional<HeldLease>&);
    void dropLease();
    void releaseLease();
    void observe(MonotonicTime now);
    void startRead(Target&, MonotonicTime now);
    void handleState(const std::string& id, const std::optional<EndpointState>&);
    void sendOrders(MonotonicTime now);
    void sendOrder(Target&, EndpointOrder, MonotonicTime now);
    void handleOutcome(const std::string& id, OrderOutcome);
    void expireOrders(MonotonicTime now);
    void retireCall(std::unique_ptr<HttpCall>&);
    PlacementPlan plan() const;
    bool mayOrder(const Target&, MonotonicTime now) const;
    /// Returns the time from which a read of the endpoint shows the effects of all orders of earlier lease holders.
    /// Precondition: the lease is held.
    MonotonicTime earlierOrdersSettledAt(const Target&) const;
    size_t ordersInFlight() const;

    const Clock& m_clock;
    Random& m_random;
    EndpointClient& m_client;
    PlacementObserver& m_observer;
    std::shared_ptr<PlacementLease> m_placementLease;
    Post m_platform;
    Post m_controllers;
    Options m_options;

    std::shared_ptr<const Configuration> m_configuration { std::make_shared<const Configuration>() };
    std::map<std::string, Target> m_targets;
    std::optional<HeldLease> m_heldLease;
    MonotonicTime m_acquiredAt;
    MonotonicTime m_nextLeaseCall;
    bool m_isLeaseCallPending { false };
    bool m_isStopping { false };
    /// Calls that have ended; a call must not be destroyed from its own callback.
    std::vector<std::unique_ptr<HttpCall>> m_finishedCalls;
    /// Expires with the controller; late callbacks check it.
    std::shared_ptr<bool> m_lifetime { std::make_shared<bool>() };
};

}
