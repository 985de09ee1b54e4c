#include <LibGateway/DomainFeedPlan.h>

#include <LibRouting/Rendezvous.h>

#include <QByteArray>
#include <QHashFunctions>

#include <algorithm>
#include <utility>

namespace Chicorydock {

namespace {

    /// Number of nodes up to which all may list the tables at once.
    constexpr size_t maxNodesWithoutDelay = 24;

    /// Longest time for which a node that has heard of few others waits for the list of nodes. The list of hundreds of
    /// nodes may take more than a second on a link that all of them read it over.
    constexpr Milliseconds nodeListTimeout { 4'000 };

    /// Longest time for which the nodes of a large deployment wait to hear of each other before they choose sources.
    constexpr Milliseconds settleTime { 300 };

    /// Time between two nodes without a source that list the tables, about as long as a listing of 3,000 registrations
    /// takes on a link of 100 Mbit/s. A node that has listed them serves the others, so few nodes ever wait for long.
    constexpr Milliseconds delayPerNode { 150 };

    /// Number of nodes whose turns are spread while the list of nodes is not known.
    constexpr size_t assumedNodes = 300;

    /// Time between two nodes that begin to list the jobs: 1,000 calls a second in 16 partitions, half of what the
    /// store takes.
    constexpr Milliseconds jobDelayPerNode { 16 };

}

Milliseconds jobListingDelay(const std::string& own, const std::set<std::string>& addresses)
{
    if (addresses.size() <= maxNodesWithoutDelay)
        return Milliseconds { 0 };
    const size_t rank = rendezvousRank("jobs", own, { addresses.begin(), addresses.end() });
    return jobDelayPerNode * static_cast<int64_t>(rank);
}

FeedPlanner::FeedPlanner(std::string address, MonotonicTime startedAt)
    : m_address(std::move(address))
    , m_startedAt(startedAt)
    // Until the other nodes are known, any order serves.
    , m_turn(delayPerNode * static_cast<int64_t>(qHash(QByteArray::fromStdString(m_address)) % assumedNodes))
{
}

void FeedPlanner::setAddresses(const std::set<std::string>& addresses)
{
    m_addresses = addresses.size();
    const size_t rank = rendezvousRank("feed", m_address, { addresses.begin(), addresses.end() });
    m_turn = delayPerNode * static_cast<int64_t>(rank);
}

bool FeedPlanner::hasHeardOfMost(size_t peers) const { return m_addresses > 0 && (peers + 1) * 4 >= m_addresses * 3; }

bool FeedPlanner::isSettled(size_t peers, MonotonicTime now)
{
    const size_t nodes = std::max(m_addresses, peers + 1);
    if (nodes <= maxNodesWithoutDelay) {
        m_largeSince.reset();
        return m_addresses > 0 || now >= m_startedAt + nodeListTimeout;
    }
    if (!m_largeSince)
        m_largeSince = now;
    return hasHeardOfMost(peers) || now >= *m_largeSince + settleTime;
}

bool FeedPlanner::knowsDomain(const FeedSurroundings& surroundings) const
{
    if (surroundings.chosen.size() > 1)
        return true;
    // A node that is the only one chosen is in a small failure domain, or has not heard of the others yet.
    return hasHeardOfMost(surroundings.peers);
}

FeedPlan FeedPlanner::plan(const FeedSurroundings& surroundings, MonotonicTime now)
{
    const size_t nodes = std::max(m_addresses, surroundings.peers + 1);
    // A deployment that grows later stays settled.
    m_isSettled = m_isSettled || isSettled(surroundings.peers, now);
    FeedPlan plan;
    plan.isSettled = m_isSettled;
    const bool isLarge = nodes > maxNodesWithoutDelay;
    plan.turn = m_turn;
    plan.storeDelay = isLarge ? m_turn : Milliseconds { 0 };
    const bool isChosen = std::ranges::find(surroundings.chosen, surroundings.node) != surroundings.chosen.end();
    plan.isSource = isChosen && (!isLarge || knowsDomain(surroundings));
    if (isChosen)
        return plan;
    plan.sources = surroundings.sources;
    // Half of the nodes prefer either source.
    std::ranges::sort(plan.sources, {},
        [&](const FeedSource& it) { return rendezvousRank(surroundings.node, it.node, surroundings.chosen); });
    return plan;
}

}
