#pragma once

#include <LibCore/Post.h>
#include <LibCore/Random.h>
#include <LibEndpoint/EndpointClient.h>
#include <LibPlacement/PlacementLease.h>
#include <LibPlacement/PlacementPlan.h>

#include <set>

namespace Chicorydock {

/// Hears what the placement does, for the time line.
class PlacementObserver {
public:
    virtual ~PlacementObserver() = default;

    virtual void onLeaseAcquired(uint64_t epoch) = 0;
    virtual void onLeaseLost(uint64_t epoch) = 0;
    virtual void onOrderSent(const PlacementEndpoint&, const EndpointOrder&) = 0;
    virtual void onOrderEnded(const PlacementEndpoint&, const EndpointOrder&, OrderOutcome) = 0;
};

/// Brings the endpoints of one failure domain to the models that the configuration declares, while it holds the
/// domain's lease. Orders are desired states: the endpoints are observed again after each order and from time to time,
/// and differences are repaired, whoever caused them.
///
/// Thread safety: none; belongs to the controllers' thread. The lease is written through a `Post` to a platform thread.
class PlacementController {
public:
    struct Options {
        Milliseconds leaseDuration { 15'000 };
        Milliseconds renewalInterval { 4'000 };
        /// Mean time between two attempts to acquire the lease. At 340 nodes this is 34 reads/s of the store's 2,000.
        Milliseconds acquireInterval { 10'000 };
        /// Time before the end of the lease from which on no orders are sent: an order is on its way for some time.
        Milliseconds leaseMargin { 3'000 };
        /// Longest time from the sending of an order until it has taken effect or never will.
        Milliseconds maxOrderDuration { 120'000 };
        Milliseconds observeInterval { 15'000 };
        Milliseconds firstRetryDelay { 1'000 };
        Milliseconds maxRetryDelay { 60'000 };
        /// The weight store is rate limited, so that many loads at once would all be slow.
        size_t maxOrdersInFlight { 4 };
        size_t maxReadsInFlight { 16 };
        /// Failed observations after which the replicas of an endpoint go elsewhere.
        uint32_t maxFailedReads { 3 };
    };

    /// `platform` runs a function on a platform thread, `controllers` on the controllers' thread. The references
    /// outlive the controller.
    PlacementController(const Clock&, Random&, EndpointClient&, PlacementObserver&, std::shared_ptr<PlacementLease>,
        Post platform, Post controllers, Options);

    /// Sets the desired state.
    void setConfiguration(std::shared_ptr<const Configuration> configuration);

    /// Sets the live, not leaving endpoints of the domain; those of plain services are left out by the caller.
    void setEndpoints(const std::vector<PlacementEndpoint>&);

    /// Starts what is due. Called several times a second.
    void tick(MonotonicTime now);

    /// Sends no more orders and gives the lease back once none is in flight.
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
        MonotonicTime callStarted;
        Milliseconds retryDelay { 0 };
        uint32_t failedReads { 0 };
        bool unloadsFirst { false };
        std::unique_ptr<HttpCall> read;
        std::unique_ptr<HttpCall> order;
        EndpointOrder sentOrder;
    };

    void renewLease(MonotonicTime now);
    void takeLease(const std::optional<HeldLease>&);
    void dropLease();
    void releaseLease();
    void observe(MonotonicTime now);
    void startRead(Target&, MonotonicTime now);
    void takeState(const std::string& id, const std::optional<EndpointState>&);
    void sendOrders(MonotonicTime now);
    void sendOrder(Target&, EndpointOrder, MonotonicTime now);
    void takeOutcome(const std::string& id, OrderOutcome);
    void expireOrders(MonotonicTime now);
    void finish(std::unique_ptr<HttpCall>&);
    PlacementPlan plan() const;
    bool mayOrder(const Target&, MonotonicTime now) const;
    /// Returns from when on a reading of the endpoint shows what earlier holders of the lease have left.
    /// Precondition: the lease is held.
    MonotonicTime settledAt(const Target&) const;
    size_t ordersInFlight() const;

    const Clock& m_clock;
    Random& m_random;
    EndpointClient& m_client;
    PlacementObserver& m_observer;
    std::shared_ptr<PlacementLease> m_leaseRow;
    Post m_platform;
    Post m_controllers;
    Options m_options;

    std::shared_ptr<const Configuration> m_configuration { std::make_shared<const Configuration>() };
    std::map<std::string, Target> m_targets;
    std::optional<HeldLease> m_lease;
    MonotonicTime m_acquiredAt;
    MonotonicTime m_nextLeaseCall;
    bool m_isCallingLease { false };
    bool m_isStopping { false };
    /// Calls that have ended; a call must not be destroyed from its own callback.
    std::vector<std::unique_ptr<HttpCall>> m_finished;
    /// Expires with the controller, so that late callbacks find out.
    std::shared_ptr<bool> m_lifetime { std::make_shared<bool>() };
};

}
