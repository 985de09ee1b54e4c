#include <LibGateway/NodeRegistry.h>

#include <glog/logging.h>

namespace Chicorydock {

namespace {

    const std::string nodeTable = "node";

    /// Nodes also discover a new node by its reports, so the registrations need not be followed quickly.
    constexpr Milliseconds followWait { 5'000 };
    constexpr Milliseconds followPace { 300 };
    constexpr Milliseconds writeRetryDelay { 300 };

    /// Rows of nodes that ended without removing them are deleted after about this time.
    constexpr Milliseconds cleanInterval { 20'000 };

    RowAddress rowOf(const std::string& node) { return { nodeTable, "", node }; }

}

NodeRegistry::NodeRegistry(
    RowStore& store, PeerGroup& peers, std::string node, std::string address, ListingHandler onListed)
    : m_store(store)
    , m_peers(peers)
    , m_node(std::move(node))
    , m_address(std::move(address))
    , m_onListed(std::move(onListed))
    , m_follower(store, { nodeTable, { "" }, followWait, followPace }, *this)
{
    m_writeTimer.setSingleShot(true);
    connect(&m_writeTimer, &QTimer::timeout, this, &NodeRegistry::writeOwnRow);
    connect(&m_cleanTimer, &QTimer::timeout, this, &NodeRegistry::removeSilentNodes);
}

const std::string& NodeRegistry::table() { return nodeTable; }

void NodeRegistry::start()
{
    writeOwnRow();
    m_follower.start();
    m_cleanTimer.start(cleanInterval);
}

void NodeRegistry::writeOwnRow()
{
    if (m_isLeaving)
        return;
    const RowTransaction transaction { {}, { { rowOf(m_node), QByteArray::fromStdString(m_address) } }, {} };
    m_store.commit(transaction, [this](const StoreResult<RowCommit>& result) {
        if (std::holds_alternative<RowCommit>(result))
            return;
        LOG(WARNING) << "could not register this node: " << std::get<StoreFailure>(result).message;
        m_writeTimer.start(writeRetryDelay);
    });
}

void NodeRegistry::leave()
{
    m_isLeaving = true;
    m_cleanTimer.stop();
    m_store.commit({ {}, {}, { rowOf(m_node) } }, [](const StoreResult<RowCommit>& result) {
        if (const auto* failure = std::get_if<StoreFailure>(&result))
            LOG(WARNING) << "could not remove the registration of this node: " << failure->message;
    });
}

void NodeRegistry::onTableListed(const TableListing& listing)
{
    onRowsChanged(listing.rows);
    std::set<std::string> addresses { m_address };
    for (const StoredRow& it : listing.rows)
        addresses.insert(it.value.toStdString());
    m_onListed(addresses);
}

void NodeRegistry::onRowsChanged(const std::vector<StoredRow>& rows)
{
    for (const StoredRow& it : rows) {
        const std::string& node = it.address.key;
        if (node == m_node)
            continue;
        if (it.isRemoved) {
            m_nodes.erase(node);
            m_peers.removeAddress(node);
            continue;
        }
        m_nodes[node] = it.version;
        m_peers.addAddress(node, it.value.toStdString());
    }
}

void NodeRegistry::removeSilentNodes()
{
    RowTransaction transaction;
    for (const auto& [node, version] : m_nodes) {
        // The others follow at the next time.
        if (transaction.entries() >= RowTransaction::maxEntries)
            break;
        if (m_peers.isForgotten(node))
            transaction.removals.push_back(rowOf(node));
    }
    if (transaction.removals.empty())
        return;
    m_store.commit(transaction, [n = transaction.removals.size()](const StoreResult<RowCommit>& result) {
        if (const auto* failure = std::get_if<StoreFailure>(&result))
            LOG(WARNING) << "could not remove " << n << " silent nodes: " << failure->message;
    });
}

}
