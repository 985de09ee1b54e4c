#include <LibRPC/PeerServer.h>

#include <LibRPC/PeerSchema.h>

namespace Chicorydock {

kj::Promise<void> PeerServer::exchange(ExchangeContext context)
{
    PeerMessage message;
    try {
        message = fromSchema(context.getParams().getMessage());
    } catch (const Error& error) {
        return toRpcException(error);
    }
    context.releaseParams();
    PeerHandler& handler = m_handler;
    return runOn<PeerMessage>(m_post, [&handler, message = std::move(message)] {
        return handler.exchange(message);
    }).then([context](const PeerMessage& reply) mutable { toSchema(reply, context.getResults().initReply()); });
}

kj::Promise<void> PeerServer::fetchRevision(FetchRevisionContext context)
{
    PeerHandler& handler = m_handler;
    const uint64_t revision = context.getParams().getRevision();
    const uint64_t held = context.getParams().getHeld();
    return runOn<std::optional<std::string>>(m_post, [&handler, revision, held] {
        return handler.fetchRevision(revision, held);
    }).then([context](const std::optional<std::string>& document) mutable {
        auto results = context.getResults();
        results.setFound(document.has_value());
        if (document)
            results.setDocument(kj::arrayPtr(reinterpret_cast<const kj::byte*>(document->data()), document->size()));
    });
}

kj::Promise<void> PeerServer::yieldBatch(YieldBatchContext context)
{
    PeerHandler& handler = m_handler;
    const std::string service = context.getParams().getService().cStr();
    const std::string endpoint = context.getParams().getEndpoint().cStr();
    // The caller does not wait for the effect, and a lost request is not retried.
    m_post([&handler, service, endpoint] { handler.yieldBatch(service, endpoint); });
    return kj::READY_NOW;
}

}
