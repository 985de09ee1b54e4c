#pragma once

#include <LibCore/Clock.h>

#include <compare>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Chicorydock {

/// Another node of the failure domain that follows the store for it.
struct FeedSource {
    std::string node;
    /// `HOST:PORT` at which the node serves its tables.
    std::string address;

    auto operator<=>(const FeedSource&) const = default;
};

/// Where a node gets the tables of the store from.
struct FeedPlan {
    /// Whether the node knows enough about its failure domain to choose. Until then no table is listed.
    bool isSettled { false };
    /// Whether the node follows the store itself, and at once.
    bool isSource { false };
    /// Nodes to ask, the preferred one first; empty if this node is one of those chosen as sources.
    std::vector<FeedSource> sources;
    /// Time without a source after which the node may list a table of the store.
    Milliseconds storeDelay { 0 };
    /// Delay of this node relative to all others, by which repeated calls are spread. Set also while the number of
    /// nodes is unknown.
    Milliseconds turn { 0 };

    auto operator<=>(const FeedPlan&) const = default;
};

/// What a node knows about the nodes around it.
struct FeedSurroundings {
    std::string node;
    /// Names of the nodes that are chosen as sources of the failure domain, this node included if it is one.
    std::vector<std::string> chosen;
    /// Those of them that are other nodes.
    std::vector<FeedSource> sources;
    /// Other nodes of the deployment that are alive.
    size_t peers { 0 };
};

/// Returns the time for which a node that starts waits before it lists the jobs, which takes a call for each partition
/// and is not needed to serve requests. Load: hundreds of nodes that start at once and together make more calls than
/// the store takes in a second. In a small deployment nobody waits. `addresses` are those of all nodes, of which some
/// may be gone, and include `own`. May be called from any thread.
Milliseconds jobListingDelay(const std::string& own, const std::set<std::string>& addresses);

/// Decides where a node gets the tables of the store from. Load: hundreds of nodes that start at once and list
/// thousands of rows each over one link. In a small deployment nobody waits, and in a small failure domain each node
/// follows the store itself.
///
/// Thread safety: none.
class FeedPlanner {
public:
    /// `address` is where this node serves its tables.
    FeedPlanner(std::string address, MonotonicTime startedAt);

    /// Records the addresses of all nodes, of which some may be gone.
    void setAddresses(const std::set<std::string>&);

    /// Returns the plan for now. Once it is settled, it stays so.
    FeedPlan plan(const FeedSurroundings&, MonotonicTime now);
    /// Returns whether the latest plan was settled. Until then the plan should be made again whenever a node is heard
    /// of, and often enough to notice when the wait for others ends.
    bool isSettled() const { return m_isSettled; }

private:
    bool isSettled(size_t peers, MonotonicTime now);
    /// Returns whether three quarters of the nodes are alive, as far as this one has heard.
    bool hasHeardOfMost(size_t peers) const;
    /// Returns whether this node has heard of enough others to be right about who is a source.
    bool knowsDomain(const FeedSurroundings&) const;

    const std::string m_address;
    const MonotonicTime m_startedAt;
    /// Number of all nodes, 0 while it is not known.
    size_t m_addresses { 0 };
    /// Time after which this node may list a table without a source.
    Milliseconds m_turn;
    /// Time since which the deployment is known to be large.
    std::optional<MonotonicTime> m_largeSince;
    bool m_isSettled { false };
};

}
