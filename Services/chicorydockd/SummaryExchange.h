#pragma once

#include <LibCore/Clock.h>
#include <LibDispatch/Dispatcher.h>
#include <LibMembership/PeerMessage.h>

#include <functional>
#include <map>
#include <string>

namespace Chicorydock {

/// Exchanges endpoint summaries (load and learned speeds) with the peers in the failure domain: publishes those of this
/// node, and passes those of peers to the schedulers. A new node thus starts with the speeds that its peers have
/// learned.
///
/// Thread safety: none; used on the controllers' thread.
class SummaryExchange {
public:
    using Publish = std::function<void(const GossipRecord&)>;

    SummaryExchange(const Clock&, Dispatcher&, std::string nodeId, Publish);

    /// Publishes a summary if it is due. `localMembers` is the number of nodes in the failure domain.
    void tick(size_t localMembers);

    /// Applies a gossip record of the key space `summary/`. Other records are ignored.
    void applyRecord(const GossipRecord&);

    /// Discards the summaries of a dead node.
    void forgetNode(const std::string& nodeId);

private:
    const Clock& m_clock;
    Dispatcher& m_dispatcher;
    std::string m_nodeId;
    Publish m_publish;
    MonotonicTime m_nextPublication;
    std::map<std::string, std::string> m_lastPublished;
};

}
