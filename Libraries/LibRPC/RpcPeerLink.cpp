#include <LibRPC/RpcPeerLink.h>

#include <LibCore/SocketAddress.h>
#include <LibRPC/PeerSchema.h>
#include <Schema/Node.capnp.h>

#include <capnp/rpc-twoparty.h>

#include <algorithm>
#include <map>

namespace Chicorydock {

namespace {

    /// A connection to one peer, which is open or being opened.
    struct Connection {
        kj::Own<kj::AsyncIoStream> stream;
        kj::Maybe<capnp::TwoPartyClient> client;
    };

    struct ConnectionEntry {
        uint64_t id;
        uint64_t lastUse;
        size_t callsInFlight;
        std::shared_ptr<Connection> connection;
        Schema::Peer::Client peer;
    };

    Schema::Peer::Client bootstrapPeer(Connection& connection)
    {
        auto& client = connection.client.emplace(*connection.stream);
        return client.bootstrap().castAs<Schema::Node>().peerRequest().send().getPeer();
    }

}

/// The part that lives on the kj thread.
class RpcPeerLink::Connections final : private kj::TaskSet::ErrorHandler {
public:
    Connections(RpcThread& thread, Post post, Options options, TrafficFilter* filter)
        : m_thread(thread)
        , m_post(std::move(post))
        , m_options(options)
        , m_filter(filter)
        , m_tasks(*this)
    {
    }

    size_t size() const { return m_entries.size(); }
    Milliseconds yieldTimeout() const { return m_options.yieldTimeout; }

    /// Runs `send` on a connection to the peer and posts its result, or nothing on failure or after the timeout.
    template <typename Result>
    void call(const std::string& address, Milliseconds timeout,
        const std::function<kj::Promise<Result>(Schema::Peer::Client&)>& send,
        std::function<void(std::optional<Result>)> callback)
    {
        const auto delay = timeout.count() * kj::MILLISECONDS;
        if (!permits(address)) {
            m_tasks.add(m_thread.timer().afterDelay(delay).then(
                [this, callback = std::move(callback)]() mutable { deliver<Result>(std::move(callback), {}); }));
            return;
        }
        ConnectionEntry* entry = m_callsInFlight < m_options.maxCallsInFlight ? connect(address) : nullptr;
        if (entry == nullptr) {
            deliver<Result>(std::move(callback), {});
            return;
        }
        ++m_callsInFlight;
        ++entry->callsInFlight;
        m_tasks.add(m_thread.timer()
                        .timeoutAfter(delay, send(entry->peer))
                        .then(
                            [this, address, callback, id = entry->id](Result result) mutable {
                                endCall(address, id);
                                const bool passes = permits(address);
                                deliver<Result>(
                                    std::move(callback), passes ? std::optional(std::move(result)) : std::nullopt);
                            },
                            [this, address, callback, id = entry->id](kj::Exception&& exception) mutable {
                                endCall(address, id);
                                // The peer responded with an error, so its connection works.
                                if (exception.getType() != kj::Exception::Type::FAILED)
                                    drop(address, id);
                                deliver<Result>(std::move(callback), {});
                            }));
    }

private:
    bool permits(const std::string& address) { return m_filter == nullptr || m_filter->permits(address); }

    template <typename Result>
    void deliver(std::function<void(std::optional<Result>)> callback, std::optional<Result> result)
    {
        m_post([callback = std::move(callback), result = std::move(result)] { callback(result); });
    }

    /// Returns the connection to the peer and opens one if there is none; null if the address is invalid.
    ConnectionEntry* connect(const std::string& address)
    {
        if (const auto it = m_entries.find(address); it != m_entries.end()) {
            it->second.lastUse = ++m_useCounter;
            return &it->second;
        }
        const auto parsed = SocketAddress::parse(address);
        if (!parsed)
            return nullptr;
        enforceConnectionLimit();
        auto networkAddress = m_thread.provider().getNetwork().getSockaddr(&parsed->storage, parsed->length);
        auto connection = std::make_shared<Connection>();
        auto connecting = networkAddress->connect().attach(kj::mv(networkAddress));
        kj::Promise<Schema::Peer::Client> peer
            = connecting.then([connection](kj::Own<kj::AsyncIoStream>&& stream) -> Schema::Peer::Client {
                  connection->stream = kj::mv(stream);
                  return bootstrapPeer(*connection);
              });
        const uint64_t id = ++m_useCounter;
        ConnectionEntry entry { id, id, 0, std::move(connection), kj::mv(peer) };
        return &m_entries.emplace(address, std::move(entry)).first->second;
    }

    void enforceConnectionLimit()
    {
        if (m_entries.size() < m_options.maxConnections)
            return;
        const auto it = std::ranges::min_element(m_entries, {}, [](const auto& item) {
            // A connection with calls in flight is closed only if all connections have some.
            return std::pair(item.second.callsInFlight > 0, item.second.lastUse);
        });
        drop(it->first, it->second.id);
    }

    void endCall(const std::string& address, uint64_t id)
    {
        --m_callsInFlight;
        if (const auto it = m_entries.find(address); it != m_entries.end() && it->second.id == id)
            --it->second.callsInFlight;
    }

    void drop(std::string address, uint64_t id)
    {
        const auto it = m_entries.find(address);
        if (it == m_entries.end() || it->second.id != id)
            return;
        // The caller may be a callback of this connection, which must not be destroyed while the callback runs.
        m_tasks.add(kj::evalLater([entry = kj::heap<ConnectionEntry>(std::move(it->second))] {}));
        m_entries.erase(it);
    }

    void taskFailed(kj::Exception&&) override { }

    RpcThread& m_thread;
    Post m_post;
    Options m_options;
    TrafficFilter* m_filter;
    std::map<std::string, ConnectionEntry> m_entries;
    uint64_t m_useCounter { 0 };
    size_t m_callsInFlight { 0 };
    // Destroyed first, because its promises refer to the connections.
    kj::TaskSet m_tasks;
};

RpcPeerLink::RpcPeerLink(RpcThread& thread, Post post, Options options, TrafficFilter* filter)
    : m_thread(thread)
    , m_connections(std::make_shared<Connections>(thread, std::move(post), options, filter))
{
}

RpcPeerLink::~RpcPeerLink()
{
    m_thread.run([this] { m_connections.reset(); });
}

void RpcPeerLink::exchange(
    const std::string& address, const PeerMessage& message, Milliseconds timeout, MessageCallback callback)
{
    m_thread.post([weak = std::weak_ptr(m_connections), address, message, timeout, callback = std::move(callback)] {
        const auto connections = weak.lock();
        if (!connections)
            return;
        connections->call<PeerMessage>(
            address, timeout,
            [&](Schema::Peer::Client& peer) {
                auto request = peer.exchangeRequest();
                toSchema(message, request.initMessage());
                return request.send().then([](auto&& response) -> kj::Promise<PeerMessage> {
                    try {
                        return fromSchema(response.getReply());
                    } catch (const Error& error) {
                        return toRpcException(error);
                    }
                });
            },
            callback);
    });
}

void RpcPeerLink::fetchRevision(
    const std::string& address, uint64_t revision, uint64_t held, Milliseconds timeout, RevisionCallback callback)
{
    // The caller does not distinguish a peer without the document from one that does not respond.
    auto unwrap = [callback = std::move(callback)](
                      std::optional<std::optional<std::string>> result) { callback(result.value_or(std::nullopt)); };
    m_thread.post([weak = std::weak_ptr(m_connections), address, revision, held, timeout, unwrap = std::move(unwrap)] {
        const auto connections = weak.lock();
        if (!connections)
            return;
        connections->call<std::optional<std::string>>(
            address, timeout,
            [&](Schema::Peer::Client& peer) {
                auto request = peer.fetchRevisionRequest();
                request.setRevision(revision);
                request.setHeld(held);
                return request.send().then([](auto&& response) -> std::optional<std::string> {
                    if (!response.getFound())
                        return {};
                    const auto document = response.getDocument();
                    return std::string(reinterpret_cast<const char*>(document.begin()), document.size());
                });
            },
            unwrap);
    });
}

void RpcPeerLink::yieldBatch(const std::string& address, const std::string& service, const std::string& endpoint)
{
    m_thread.post(
        [weak = std::weak_ptr(m_connections), address, service, endpoint, timeout = m_connections->yieldTimeout()] {
            const auto connections = weak.lock();
            if (!connections)
                return;
            connections->call<bool>(
                address, timeout,
                [&](Schema::Peer::Client& peer) {
                    auto request = peer.yieldBatchRequest();
                    request.setService(service);
                    request.setEndpoint(endpoint);
                    return request.send().then([](auto&&) { return true; });
                },
                [](std::optional<bool>) {});
        });
}

size_t RpcPeerLink::connectionCount() const
{
    size_t count = 0;
    m_thread.run([&] { count = m_connections->size(); });
    return count;
}

}
