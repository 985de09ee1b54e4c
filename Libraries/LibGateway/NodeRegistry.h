#pragma once

#include <LibGateway/PeerGroup.h>
#include <LibPlatform/TableFollower.h>

#include <functional>
#include <map>
#include <set>
#include <string>

namespace Chicorydock {

/// Lets nodes discover each other: each node writes its address to the platform's store when it starts.
///
/// Thread safety: used on the main thread.
class NodeRegistry final : public QObject, private TableListener {
public:
    /// Receives the addresses of all registered nodes, this one included. Some nodes may be gone.
    using ListingHandler = std::function<void(const std::set<std::string>& addresses)>;

    /// The store and the peers must outlive the registry. `address` is where this node receives the reports of peers.
    NodeRegistry(RowStore&, PeerGroup&, std::string node, std::string address, ListingHandler);

    /// Returns the name of the table of nodes.
    static const std::string& table();

    void start();

    /// Removes this node's registration.
    void leave();

private:
    void onTableListed(const TableListing&) override;
    void onRowsChanged(const std::vector<StoredRow>&) override;
    void onReachableChanged(bool) override { }

    void writeOwnRow();
    void removeSilentNodes();

    RowStore& m_store;
    PeerGroup& m_peers;
    const std::string m_node;
    const std::string m_address;
    const ListingHandler m_onListed;
    /// Versions of the rows of other nodes.
    std::map<std::string, uint64_t> m_nodes;
    bool m_isLeaving { false };
    QTimer m_writeTimer;
    QTimer m_cleanTimer;
    TableFollower m_follower;
};

}
