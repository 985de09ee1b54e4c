#pragma once

#include <LibCore/Clock.h>
#include <LibDispatch/Dispatcher.h>
#include <LibMembership/PeerMessage.h>

#include <functional>
#include <map>
#include <string>

namespace Chicorydock {

/// Tells the peers of the failure domain what this node knows of its endpoints, and hands what they say to the
/// schedulers. A new node starts from the speeds that its peers have learned.
///
/// Thread safety: none; belongs to the controllers' thread.
class SummaryExchange {
public:
    using Publish = std::function<void(const GossipRecord&)>;

    SummaryExchange(const Clock&, Dispatcher&, std::string nodeId, Publish);

    /// Publishes a summary if it is due. `localMembers` is the number of nodes in the failure domain.
    void tick(size_t localMembers);

    /// Takes in a record of the key space `summary/`; others are ignored.
    void takeRecord(const GossipRecord&);

    /// Forgets what a peer said that is gone.
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
