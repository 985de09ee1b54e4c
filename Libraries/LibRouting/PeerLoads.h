#pragma once

#include <LibRouting/Scheduler.h>

#include <map>
#include <string>
#include <vector>

namespace Chicorydock {

/// Stores the loads of the latest summary of every peer until they expire.
///
/// Thread safety: none.
class PeerLoads {
public:
    /// In-flight counts of one peer at one endpoint, given by its index.
    struct Load {
        uint32_t endpoint { 0 };
        uint32_t online { 0 };
        uint32_t batch { 0 };
    };

    /// Replaces a peer's loads and returns the previous ones. An empty list removes the peer.
    std::vector<Load> replace(const std::string& node, std::vector<Load>, MonotonicTime now);

    /// Removes the peers whose latest summary was received before `oldest`, and returns their loads.
    std::vector<Load> expire(MonotonicTime oldest);

    /// Returns when the oldest summary was received, or the maximum if there is none.
    MonotonicTime oldest() const { return m_oldest; }

private:
    struct Peer {
        MonotonicTime receivedAt;
        std::vector<Load> loads;
    };

    void updateOldest();

    std::map<std::string, Peer> m_peers;
    MonotonicTime m_oldest { MonotonicTime::max() };
};

}
