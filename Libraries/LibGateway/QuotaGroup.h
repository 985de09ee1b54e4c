#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Chicorydock {

/// Tells which part of the deployment an allocator of slots is in touch with, so that parts which do not hear each
/// other divide the rate limits of workspaces. The unit is the node: the slots of every node are allocated by one
/// allocator, so the nodes of all allocators add up to the deployment, whichever of them coordinate.
///
/// Load: any. The cost is one update for each report of another allocator.
///
/// Thread safety: none.
class QuotaGroup {
public:
    /// Records how many nodes this allocator serves, itself included.
    void setOwnNodes(uint32_t nodes);
    uint32_t ownNodes() const { return m_ownNodes; }

    /// Records how many nodes the deployment has, those included that were lost a short time ago. Nodes that are cut
    /// off from each other have to know of each other for as long as this may last.
    void setKnownNodes(uint32_t nodes) { m_knownNodes = nodes; }

    /// Records the report of another allocator, which serves `nodes` nodes and sends the next report within a quarter
    /// of `lifetime`. Returns whether it was unknown or silent before.
    bool hear(const std::string& allocator, uint32_t nodes, Milliseconds lifetime, MonotonicTime now);

    /// Forgets a node that no longer allocates slots. Returns whether it was known.
    bool remove(const std::string& allocator) { return m_allocators.erase(allocator) > 0; }

    /// Returns whether the allocator has reported and has not been forgotten since. It may be out of touch.
    bool knows(const std::string& allocator) const { return m_allocators.contains(allocator); }

    /// Forgets all allocators.
    void reset() { m_allocators.clear(); }

    /// Computes the numbers below anew. Returns the allocators that are forgotten from now on.
    std::vector<std::string> update(MonotonicTime now);

    /// Returns the number of nodes that this allocator and those that it is in touch with serve.
    uint32_t nodesInTouch() const { return m_inTouch; }
    /// Returns the number of nodes of the deployment.
    uint32_t nodesKnown() const;
    /// Returns the part of the deployment that is in touch, in (0, 1].
    double fraction() const { return static_cast<double>(m_inTouch) / nodesKnown(); }
    /// Returns the part of the nodes in touch that this allocator serves, in (0, 1].
    double ownShare() const { return static_cast<double>(m_ownNodes) / m_inTouch; }

    /// Returns the time up to which all allocators in touch have reported, `now` if there are no others.
    MonotonicTime heardUntil(MonotonicTime now) const;

private:
    struct Allocator {
        uint32_t nodes { 0 };
        MonotonicTime heardAt;
        /// Time without a report after which it counts as out of touch.
        Milliseconds patience { 0 };

        bool isInTouch(MonotonicTime now) const { return now - heardAt <= patience; }
    };

    std::map<std::string, Allocator> m_allocators;
    uint32_t m_ownNodes { 1 };
    uint32_t m_knownNodes { 1 };
    uint32_t m_inTouch { 1 };
};

}
