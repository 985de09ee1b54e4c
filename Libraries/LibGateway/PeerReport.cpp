#include <LibGateway/PeerReport.h>

#include <LibGateway/SlotMessageFormat.h>
#include <Schema/Load.capnp.h>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <glog/logging.h>
#include <kj/exception.h>

namespace Chicorydock {

namespace {

    /// A datagram whose decoded form is larger than this is not a report; its claimed size must not be allocated.
    constexpr uint64_t maxDecodedWords = 64 * 1024;

    capnp::ReaderOptions readerOptions()
    {
        capnp::ReaderOptions options;
        options.traversalLimitInWords = maxDecodedWords;
        return options;
    }

    void writeRates(const std::unordered_map<uint32_t, ReportedRate>& rates, Schema::LoadReport::Builder root)
    {
        auto list = root.initRates(static_cast<uint32_t>(rates.size()));
        uint32_t n = 0;
        for (const auto& [endpoint, rate] : rates) {
            auto it = list[n++];
            it.setEndpoint(endpoint);
            it.setPerSecond(rate.perSecond);
            it.setAgeMs(static_cast<uint32_t>(rate.age.count()));
            it.setStarts(rate.starts);
        }
    }

    void writeQuotas(const ReportedQuotas& quotas, Schema::LoadReport::Builder root)
    {
        auto list = root.initQuotas(static_cast<uint32_t>(quotas.size()));
        uint32_t n = 0;
        for (const auto& [workspace, quota] : quotas) {
            auto it = list[n++];
            it.setWorkspace(workspace);
            it.setCharged(quota.charged);
            it.setLevel(quota.level);
        }
    }

    void writeSuspectParts(const std::vector<SuspectPart>& parts, Schema::LoadReport::Builder root)
    {
        auto list = root.initSuspectParts(static_cast<uint32_t>(parts.size()));
        for (uint32_t n = 0; n < list.size(); ++n) {
            list[n].setPart(parts[n].part);
            if (parts[n].answeredAgo)
                list[n].setAnsweredAgoMs(static_cast<int32_t>(parts[n].answeredAgo->count()));
            if (parts[n].trialAgo)
                list[n].setTrialAgoMs(static_cast<int32_t>(parts[n].trialAgo->count()));
            if (parts[n].candidate) {
                list[n].setCandidate(parts[n].candidate->node);
                list[n].setCandidateAgoMs(static_cast<uint32_t>(parts[n].candidate->age.count()));
            }
            auto crashes = list[n].initCrashes(static_cast<uint32_t>(parts[n].crashes.size()));
            for (uint32_t k = 0; k < crashes.size(); ++k) {
                crashes[k].setIncarnation(parts[n].crashes[k].incarnation);
                crashes[k].setAgeMs(static_cast<uint32_t>(parts[n].crashes[k].age.count()));
            }
        }
    }

    std::vector<SuspectPart> readSuspectParts(Schema::LoadReport::Reader root)
    {
        std::vector<SuspectPart> parts;
        for (const auto it : root.getSuspectParts()) {
            SuspectPart& part = parts.emplace_back();
            part.part = it.getPart();
            if (it.getAnsweredAgoMs() >= 0)
                part.answeredAgo = Milliseconds { it.getAnsweredAgoMs() };
            if (it.getTrialAgoMs() >= 0)
                part.trialAgo = Milliseconds { it.getTrialAgoMs() };
            if (it.hasCandidate())
                part.candidate = TrialCandidate { it.getCandidate(), Milliseconds { it.getCandidateAgoMs() } };
            for (const auto crash : it.getCrashes())
                part.crashes.push_back({ crash.getIncarnation(), Milliseconds { crash.getAgeMs() } });
        }
        return parts;
    }

}

void PeerReport::removeSlotMessages()
{
    slotReport.reset();
    slotReply.reset();
}

QByteArray encodePeerReport(const PeerReport& report)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<Schema::LoadReport>();
    root.setNode(report.node);
    root.setFailureDomain(report.failureDomain);
    root.setSequence(report.sequence);
    root.setWaiting(report.waiting);
    root.setIsStoreReachable(report.isStoreReachable);
    root.setStoreReachableForMs(static_cast<uint32_t>(report.storeReachableFor.count()));
    root.setConfigurationVersion(report.configurationVersion);
    root.setIsConfigurationSource(report.isConfigurationSource);
    root.setIsLeaving(report.isLeaving);
    root.setEndpointsLostForMs(static_cast<uint32_t>(report.endpointsLostFor.count()));
    root.setIsCoordinating(report.isCoordinating);
    root.setCapacityPercent(report.capacityPercent);
    root.setNextWithinMs(static_cast<uint32_t>(report.nextWithin.count()));
    auto uses = root.initUses(static_cast<uint32_t>(report.use.size()));
    uint32_t n = 0;
    for (const auto& [endpoint, use] : report.use) {
        auto it = uses[n++];
        it.setEndpoint(endpoint);
        it.setOnline(static_cast<uint16_t>(use.online));
        it.setBatch(static_cast<uint16_t>(use.batch));
    }
    if (!report.rates.empty())
        writeRates(report.rates, root);
    root.setServedNodes(report.servedNodes);
    if (!report.quotas.empty())
        writeQuotas(report.quotas, root);
    if (!report.suspectParts.empty())
        writeSuspectParts(report.suspectParts, root);
    if (!report.recipient.empty())
        root.setRecipient(report.recipient);
    if (report.slotReport)
        writeSlotReport(*report.slotReport, root.initSlotReport());
    if (report.slotReply)
        writeSlotReply(*report.slotReply, root.initSlotReply());
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
        capnp::PackedMessageReader message(stream, readerOptions());
        const auto root = message.getRoot<Schema::LoadReport>();
        PeerReport report;
        report.node = root.getNode();
        report.failureDomain = root.getFailureDomain();
        report.sequence = root.getSequence();
        report.waiting = root.getWaiting();
        report.isStoreReachable = root.getIsStoreReachable();
        report.storeReachableFor = Milliseconds { root.getStoreReachableForMs() };
        report.configurationVersion = root.getConfigurationVersion();
        report.isConfigurationSource = root.getIsConfigurationSource();
        report.isLeaving = root.getIsLeaving();
        report.endpointsLostFor = Milliseconds { root.getEndpointsLostForMs() };
        report.isCoordinating = root.getIsCoordinating();
        report.capacityPercent = root.getCapacityPercent();
        report.nextWithin = Milliseconds { root.getNextWithinMs() };
        for (const auto it : root.getUses())
            report.use[it.getEndpoint()] = { it.getOnline(), it.getBatch() };
        for (const auto it : root.getRates()) {
            if (isRate(it.getPerSecond()))
                report.rates[it.getEndpoint()] = { it.getPerSecond(), Milliseconds { it.getAgeMs() }, it.getStarts() };
        }
        report.servedNodes = root.getServedNodes();
        for (const auto it : root.getQuotas())
            report.quotas[it.getWorkspace()] = { it.getCharged(), it.getLevel() };
        report.suspectParts = readSuspectParts(root);
        report.recipient = root.getRecipient();
        if (root.hasSlotReport())
            report.slotReport = readSlotReport(root.getSlotReport());
        if (root.hasSlotReply())
            report.slotReply = readSlotReply(root.getSlotReply());
        return report;
    } catch (const kj::Exception& exception) {
        LOG(WARNING) << "ignored a datagram that is not a load report: " << exception.getDescription().cStr();
        return {};
    }
}

}
