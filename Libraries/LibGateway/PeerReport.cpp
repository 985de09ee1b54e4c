#include <LibGateway/PeerReport.h>

#include <Schema/Load.capnp.h>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <glog/logging.h>
#include <kj/exception.h>

namespace Chicorydock {

QByteArray encodePeerReport(const PeerReport& report)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<Schema::LoadReport>();
    root.setNode(report.node);
    root.setFailureDomain(report.failureDomain);
    root.setSequence(report.sequence);
    root.setWaiting(report.waiting);
    root.setIsStoreReachable(report.isStoreReachable);
    root.setIsLeaving(report.isLeaving);
    auto uses = root.initUses(static_cast<uint32_t>(report.use.size()));
    uint32_t n = 0;
    for (const auto& [endpoint, use] : report.use) {
        auto it = uses[n++];
        it.setEndpoint(endpoint);
        it.setOnline(static_cast<uint16_t>(use.online));
        it.setBatch(static_cast<uint16_t>(use.batch));
    }
    kj::VectorOutputStream stream;
    capnp::writePackedMessage(stream, message);
    const auto bytes = stream.getArray();
    return { reinterpret_cast<const char*>(bytes.begin()), static_cast<qsizetype>(bytes.size()) };
}

std::optional<PeerReport> decodePeerReport(const QByteArray& bytes)
{
    try {
        kj::ArrayInputStream stream(
            kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.constData()), static_cast<size_t>(bytes.size())));
        capnp::PackedMessageReader message(stream);
        const auto root = message.getRoot<Schema::LoadReport>();
        PeerReport report;
        report.node = root.getNode();
        report.failureDomain = root.getFailureDomain();
        report.sequence = root.getSequence();
        report.waiting = root.getWaiting();
        report.isStoreReachable = root.getIsStoreReachable();
        report.isLeaving = root.getIsLeaving();
        for (const auto it : root.getUses())
            report.use[it.getEndpoint()] = { it.getOnline(), it.getBatch() };
        return report;
    } catch (const kj::Exception& exception) {
        LOG(WARNING) << "ignored a datagram that is not a load report: " << exception.getDescription().cStr();
        return {};
    }
}

}
