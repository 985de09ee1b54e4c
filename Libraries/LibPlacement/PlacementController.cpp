#include <LibPlacement/PlacementController.h>

#include <LibCore/Error.h>

#include <algorithm>

namespace Chicorydock {

PlacementController::PlacementController(const Clock& clock, Random& random, EndpointClient& client,
    PlacementObserver& observer, std::shared_ptr<PlacementLease> lease, Post platform, Post controllers,
    Options options)
    : m_clock(clock)
    , m_random(random)
    , m_client(client)
    , m_observer(observer)
    , m_placementLease(std::move(lease))
    , m_platform(std::move(platform))
    , m_controllers(std::move(controllers))
    , m_options(options)
    // Nodes that start together do not all write the lease at once.
    , m_nextLeaseCall(clock.now() + fromSeconds(toSeconds(options.renewalInterval) * random.unit()))
{
}

void PlacementController::setConfiguration(std::shared_ptr<const Configuration> configuration)
{
    m_configuration = std::move(configuration);
}

void PlacementController::setEndpoints(const std::vector<PlacementEndpoint>& endpoints)
{
    std::set<std::string> ids;
    for (const PlacementEndpoint& endpoint : endpoints) {
        ids.insert(endpoint.id);
        Target& target = m_targets[endpoint.id];
        if (target.endpoint != endpoint)
            target.observed.reset();
        target.endpoint = endpoint;
    }
    std::erase_if(m_targets, [&](const auto& it) { return !ids.contains(it.first); });
}

void PlacementController::tick(MonotonicTime now)
{
    m_finishedCalls.clear();
    if (m_heldLease && now >= m_heldLease->validUntil)
        dropLease();
    if (now >= m_nextLeaseCall && !m_isLeaseCallPending && !m_isStopping)
        renewLease(now);
    expireOrders(now);
    if (m_isStopping && m_heldLease && ordersInFlight() == 0 && !m_isLeaseCallPending)
        releaseLease();
    if (!holdsLease())
        return;
    observe(now);
    sendOrders(now);
}

void PlacementController::stop() { m_isStopping = true; }

bool PlacementController::holdsLease() const
{
    // The clock is read here and not passed in: after a pause of the process, an earlier time would make an expired
    // lease look valid.
    return m_heldLease && !m_isStopping && m_clock.now() + m_options.leaseMargin < m_heldLease->validUntil;
}

void PlacementController::renewLease(MonotonicTime now)
{
    m_isLeaseCallPending = true;
    const auto interval = m_heldLease ? m_options.renewalInterval : m_options.acquireInterval;
    m_nextLeaseCall = now + fromSeconds(toSeconds(interval) * (0.75 + 0.5 * m_random.unit()));
    // The lifetime is only checked on the controllers' thread.
    m_platform(
        [this, placementLease = m_placementLease, controllers = m_controllers, lifetime = std::weak_ptr(m_lifetime)] {
            std::optional<HeldLease> lease;
            bool isKnown = true;
            try {
                lease = placementLease->acquireOrRenew();
            } catch (const Error&) {
                // The lease that is held, if any, stays valid until its end.
                isKnown = false;
            }
            controllers([this, lifetime, lease, isKnown] {
                if (lifetime.expired())
                    return;
                m_isLeaseCallPending = false;
                if (isKnown)
                    updateLease(lease);
            });
        });
}

void PlacementController::updateLease(const std::optional<HeldLease>& lease)
{
    const bool isRenewal = lease && m_heldLease && lease->epoch == m_heldLease->epoch;
    if (isRenewal) {
        m_heldLease = lease;
        return;
    }
    if (m_heldLease)
        dropLease();
    if (!lease)
        return;
    m_heldLease = lease;
    m_acquiredAt = m_clock.now();
    for (auto& [id, target] : m_targets) {
        // Holders in between may have changed what was observed before.
        target.observed.reset();
        target.nextRead = m_acquiredAt;
        target.failedReads = 0;
    }
    m_observer.onLeaseAcquired(lease->epoch);
}

void PlacementController::dropLease()
{
    const uint64_t epoch = m_heldLease->epoch;
    m_heldLease.reset();
    m_observer.onLeaseLost(epoch);
}

void PlacementController::releaseLease()
{
    dropLease();
    m_platform([placementLease = m_placementLease] {
        try {
            placementLease->release();
        } catch (const Error&) {
            // The lease expires by itself.
        }
    });
}

void PlacementController::observe(MonotonicTime now)
{
    auto reads = static_cast<size_t>(
        std::ranges::count_if(m_targets, [](const auto& it) { return it.second.read != nullptr; }));
    for (auto& [id, target] : m_targets) {
        if (reads >= m_options.maxReadsInFlight)
            return;
        const bool needsSettledState
            = target.readStarted < earlierOrdersSettledAt(target) && now >= earlierOrdersSettledAt(target);
        if (target.read || target.order || (now < target.nextRead && !needsSettledState))
            continue;
        startRead(target, now);
        ++reads;
    }
}

void PlacementController::startRead(Target& target, MonotonicTime now)
{
    target.readStarted = now;
    target.nextRead = now + fromSeconds(toSeconds(m_options.observeInterval) * (0.75 + 0.5 * m_random.unit()));
    target.read = m_client.readState(target.endpoint.address,
        [this, id = target.endpoint.id](const std::optional<EndpointState>& state) { handleState(id, state); });
}

void PlacementController::handleState(const std::string& id, const std::optional<EndpointState>& state)
{
    Target& target = m_targets.at(id);
    if (!target.read)
        return;
    retireCall(target.read);
    target.observed = state;
    target.failedReads = state ? 0 : target.failedReads + 1;
}

void PlacementController::sendOrders(MonotonicTime now)
{
    const PlacementPlan desired = plan();
    size_t inFlight = ordersInFlight();
    for (auto& [id, target] : m_targets) {
        if (inFlight >= m_options.maxOrdersInFlight)
            return;
        const auto models = desired.find(id);
        if (models == desired.end() || !mayOrder(target, now))
            continue;
        if (auto order = nextOrder(models->second, *target.observed, target.unloadsFirst)) {
            sendOrder(target, std::move(*order), now);
            ++inFlight;
        }
    }
}

bool PlacementController::mayOrder(const Target& target, MonotonicTime now) const
{
    if (!holdsLease() || target.order || target.read || !target.observed || now < target.nextOrder)
        return false;
    const Service* service = m_configuration->findService(target.endpoint.service);
    // The desired models of an endpoint are unknown if its service is not declared.
    if (service == nullptr || service->kind != Service::Kind::Engine)
        return false;
    return target.readStarted >= earlierOrdersSettledAt(target);
}

MonotonicTime PlacementController::earlierOrdersSettledAt(const Target& target) const
{
    const Service* service = m_configuration->findService(target.endpoint.service);
    const bool checksFencing = service != nullptr && service->checksFencing;
    // An endpoint that does not check the fencing number may still carry out orders of the previous holder.
    return checksFencing || !m_heldLease->hasPredecessor ? m_acquiredAt : m_acquiredAt + m_options.maxOrderDuration;
}

void PlacementController::sendOrder(Target& target, EndpointOrder order, MonotonicTime now)
{
    order.fencingNumber = m_heldLease->epoch;
    target.sentOrder = order;
    target.orderStarted = now;
    m_observer.onOrderSent(target.endpoint, order);
    target.order = m_client.order(target.endpoint.address, order,
        [this, id = target.endpoint.id](OrderOutcome outcome) { handleOutcome(id, outcome); });
}

void PlacementController::handleOutcome(const std::string& id, OrderOutcome outcome)
{
    Target& target = m_targets.at(id);
    if (!target.order)
        return;
    retireCall(target.order);
    m_observer.onOrderEnded(target.endpoint, target.sentOrder, outcome);
    const MonotonicTime now = m_clock.now();
    // The state is read again before the next order, whatever the outcome.
    target.observed.reset();
    target.nextRead = now;
    if (outcome == OrderOutcome::StaleFencingNumber && m_heldLease) {
        // The lease has a later holder, even if it has not expired on this node's clock.
        dropLease();
        return;
    }
    const bool failed = outcome != OrderOutcome::Done;
    target.unloadsFirst = failed && target.sentOrder.kind == EndpointOrder::Kind::Load && !target.unloadsFirst;
    target.retryDelay = failed ? std::clamp(2 * target.retryDelay, m_options.firstRetryDelay, m_options.maxRetryDelay)
                               : Milliseconds { 0 };
    target.nextOrder = now + target.retryDelay;
}

void PlacementController::expireOrders(MonotonicTime now)
{
    std::vector<std::string> expired;
    for (const auto& [id, target] : m_targets) {
        if (target.order && now - target.orderStarted >= m_options.maxOrderDuration)
            expired.push_back(id);
    }
    for (const std::string& id : expired)
        handleOutcome(id, OrderOutcome::Unknown);
    // Destroys the expired calls, so that their callbacks are not called any more.
    m_finishedCalls.clear();
}

void PlacementController::retireCall(std::unique_ptr<HttpCall>& call)
{
    if (call)
        m_finishedCalls.push_back(std::move(call));
}

PlacementPlan PlacementController::plan() const
{
    std::vector<PlacementEndpoint> live;
    for (const auto& [id, target] : m_targets) {
        if (target.failedReads < m_options.maxFailedReads)
            live.push_back(target.endpoint);
    }
    return makePlacementPlan(*m_configuration, live);
}

size_t PlacementController::ordersInFlight() const
{
    return static_cast<size_t>(
        std::ranges::count_if(m_targets, [](const auto& it) { return it.second.order != nullptr; }));
}

}
