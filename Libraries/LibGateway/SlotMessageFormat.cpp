#include <LibGateway/SlotMessageFormat.h>

#include <algorithm>
#include <limits>
#include <optional>

namespace Chicorydock {

namespace {

    constexpr uint32_t unknownAge = std::numeric_limits<uint32_t>::max();

    /// Converts a duration to the number type of a field. Longer durations than the type holds mean the same.
    template <typename Number> Number toNumber(Milliseconds duration)
    {
        return static_cast<Number>(std::clamp<int64_t>(
            duration.count(), std::numeric_limits<Number>::min(), std::numeric_limits<Number>::max()));
    }

    void writeTexts(const std::vector<std::string>& texts, capnp::List<capnp::Text>::Builder builder)
    {
        for (size_t n = 0; n < texts.size(); ++n)
            builder.set(static_cast<uint32_t>(n), texts[n]);
    }

    std::vector<std::string> readTexts(capnp::List<capnp::Text>::Reader reader)
    {
        std::vector<std::string> texts;
        for (const auto it : reader)
            texts.emplace_back(it);
        return texts;
    }

    std::vector<uint64_t> readNumbers(capnp::List<uint64_t>::Reader reader)
    {
        std::vector<uint64_t> numbers;
        for (const uint64_t it : reader)
            numbers.push_back(it);
        return numbers;
    }

    std::optional<std::string> readSoftwareVersion(auto reader)
    {
        return reader.hasSoftwareVersion() ? std::optional<std::string>(reader.getSoftwareVersion()) : std::nullopt;
    }

    template <typename Builder> void writeProfile(const WorkProfile& profile, Builder message)
    {
        if (profile == WorkProfile {})
            return;
        Schema::WorkProfile::Builder builder = message.initProfile();
        if (!profile.workspace.empty())
            builder.setWorkspace(profile.workspace);
        builder.setPromptTokens(profile.promptTokens);
        builder.setMaxOutputTokens(profile.maxOutputTokens);
        builder.setOutputTokensHint(profile.outputTokensHint);
        auto parts = builder.initSharedParts(static_cast<uint32_t>(profile.sharedParts.size()));
        for (uint32_t n = 0; n < parts.size(); ++n) {
            parts[n].setKey(profile.sharedParts[n].key);
            parts[n].setTokens(profile.sharedParts[n].tokens);
        }
    }

    template <typename Reader> WorkProfile readProfile(Reader message)
    {
        if (!message.hasProfile())
            return {};
        const Schema::WorkProfile::Reader reader = message.getProfile();
        WorkProfile profile { reader.getWorkspace(), reader.getPromptTokens(), reader.getMaxOutputTokens(),
            reader.getOutputTokensHint(), {} };
        for (const auto it : reader.getSharedParts())
            profile.sharedParts.push_back({ it.getKey(), it.getTokens() });
        return profile;
    }

    void writeRequest(const QueuedRequest& request, Schema::QueuedRequest::Builder builder)
    {
        builder.setWork(request.work);
        builder.setService(request.service);
        builder.setPriority(request.priority);
        builder.setStartInMs(toNumber<int32_t>(request.startIn));
        builder.setDeadlineInMs(toNumber<int32_t>(request.deadlineIn));
        builder.setIsLastAttempt(request.isLastAttempt);
        writeTexts(request.excluded, builder.initExcluded(static_cast<uint32_t>(request.excluded.size())));
        if (request.softwareVersion)
            builder.setSoftwareVersion(*request.softwareVersion);
        writeProfile(request.profile, builder);
        builder.setIsCharged(request.isCharged);
        builder.setIsTakenOver(request.isTakenOver);
    }

    QueuedRequest readRequest(Schema::QueuedRequest::Reader reader)
    {
        return { reader.getWork(), reader.getService(), reader.getPriority(), Milliseconds { reader.getStartInMs() },
            Milliseconds { reader.getDeadlineInMs() }, reader.getIsLastAttempt(), readTexts(reader.getExcluded()),
            readSoftwareVersion(reader), readProfile(reader), reader.getIsCharged(), reader.getIsTakenOver() };
    }

    void writeItem(const QueuedItem& item, Schema::QueuedItem::Builder builder)
    {
        builder.setWork(item.work);
        builder.setService(item.service);
        builder.setDueInMs(toNumber<int32_t>(item.dueIn));
        builder.setSlotTimeUsedMs(toNumber<uint32_t>(item.slotTimeUsed));
        writeTexts(item.excluded, builder.initExcluded(static_cast<uint32_t>(item.excluded.size())));
        if (item.softwareVersion)
            builder.setSoftwareVersion(*item.softwareVersion);
        writeProfile(item.profile, builder);
    }

    QueuedItem readItem(Schema::QueuedItem::Reader reader)
    {
        return { reader.getWork(), reader.getService(), Milliseconds { reader.getDueInMs() },
            Milliseconds { reader.getSlotTimeUsedMs() }, readTexts(reader.getExcluded()), readSoftwareVersion(reader),
            readProfile(reader) };
    }

    void writeSlot(const HeldSlot& slot, Schema::HeldSlot::Builder builder)
    {
        builder.setWork(slot.work);
        builder.setService(slot.service);
        builder.setEndpoint(slot.endpoint);
        builder.setIsBatch(slot.isBatch);
        builder.setHeldForMs(toNumber<uint32_t>(slot.heldFor));
        builder.setDueInMs(toNumber<int32_t>(slot.dueIn));
        builder.setSlotTimeUsedMs(toNumber<uint32_t>(slot.slotTimeUsed));
        writeProfile(slot.profile, builder);
    }

    HeldSlot readSlot(Schema::HeldSlot::Reader reader)
    {
        return { reader.getWork(), reader.getService(), reader.getEndpoint(), reader.getIsBatch(),
            Milliseconds { reader.getHeldForMs() }, Milliseconds { reader.getDueInMs() },
            Milliseconds { reader.getSlotTimeUsedMs() }, readProfile(reader) };
    }

    FinishedWork readFinished(Schema::FinishedWork::Reader reader)
    {
        // An unknown outcome says nothing about the endpoint.
        const bool isKnown = reader.getOutcome() <= static_cast<uint8_t>(EndpointOutcome::Cancelled);
        return { reader.getWork(),
            isKnown ? static_cast<EndpointOutcome>(reader.getOutcome()) : EndpointOutcome::Cancelled };
    }

    void writeDecision(const SlotDecision& decision, Schema::SlotDecision::Builder builder)
    {
        builder.setKind(static_cast<Schema::SlotDecision::Kind>(decision.kind));
        builder.setWork(decision.work);
        builder.setEndpoint(decision.endpoint);
        builder.setRetryAfterMs(toNumber<uint32_t>(decision.retryAfter));
        builder.setOnline(decision.view.online);
        builder.setBatch(decision.view.batch);
        builder.setSlotCount(decision.view.slotCount);
        builder.setAgeMs(decision.view.age ? toNumber<uint32_t>(*decision.view.age) : unknownAge);
        builder.setExpectedWaitMs(toNumber<uint32_t>(decision.view.expectedWait));
        builder.setExpectedSlotMs(toNumber<uint32_t>(decision.view.expectedSlotTime));
        builder.setReason(static_cast<Schema::RefusalReason>(decision.reason));
    }

    /// Returns `Load` for a reason that this build does not know.
    RefusalReason readReason(Schema::RefusalReason reason)
    {
        return reason == Schema::RefusalReason::QUOTA ? RefusalReason::Quota : RefusalReason::Load;
    }

    /// Returns nothing for a kind of decision that this build does not know.
    std::optional<SlotDecision> readDecision(Schema::SlotDecision::Reader reader)
    {
        if (reader.getKind() > Schema::SlotDecision::Kind::YIELD)
            return {};
        const bool isAgeKnown = reader.getAgeMs() != unknownAge;
        const SlotView view { reader.getOnline(), reader.getBatch(), reader.getSlotCount(),
            isAgeKnown ? std::optional(Milliseconds { reader.getAgeMs() }) : std::nullopt,
            Milliseconds { reader.getExpectedWaitMs() }, Milliseconds { reader.getExpectedSlotMs() } };
        return SlotDecision { static_cast<SlotDecision::Kind>(reader.getKind()), reader.getWork(), reader.getEndpoint(),
            Milliseconds { reader.getRetryAfterMs() }, view, readReason(reader.getReason()) };
    }

    template <typename Value, typename List, typename Read> std::vector<Value> readList(List list, Read read)
    {
        std::vector<Value> values;
        for (const auto it : list)
            values.push_back(read(it));
        return values;
    }

    template <typename Value, typename List, typename Write>
    void writeList(const std::vector<Value>& values, List list, Write write)
    {
        for (size_t n = 0; n < values.size(); ++n)
            write(values[n], list[static_cast<uint32_t>(n)]);
    }

    uint32_t listSize(const auto& values) { return static_cast<uint32_t>(values.size()); }

    void writeNumbers(const std::vector<uint64_t>& numbers, capnp::List<uint64_t>::Builder builder)
    {
        for (size_t n = 0; n < numbers.size(); ++n)
            builder.set(static_cast<uint32_t>(n), numbers[n]);
    }

}

void writeSlotReport(const SlotReport& report, Schema::SlotReport::Builder builder)
{
    builder.setSequence(report.sequence);
    builder.setAcknowledged(report.acknowledged);
    builder.setIsLeaving(report.isLeaving);
    builder.setExpectsReply(report.expectsReply);
    writeList(report.requests, builder.initRequests(listSize(report.requests)), writeRequest);
    writeList(report.items, builder.initItems(listSize(report.items)), writeItem);
    writeList(report.held, builder.initSlots(listSize(report.held)), writeSlot);
    writeNumbers(report.queued, builder.initQueued(listSize(report.queued)));
    writeNumbers(report.running, builder.initRunning(listSize(report.running)));
    const auto writeFinished = [](const FinishedWork& work, Schema::FinishedWork::Builder it) {
        it.setWork(work.work);
        it.setOutcome(static_cast<uint8_t>(work.outcome));
    };
    writeList(report.finished, builder.initFinished(listSize(report.finished)), writeFinished);
    const auto writeLoad = [](const EndpointLoad& load, Schema::EndpointLoad::Builder it) {
        it.setEndpoint(load.endpoint);
        it.setRunning(load.load.running);
        it.setWaiting(load.load.waiting);
        it.setWorkTimePercent(load.load.workTimePercent);
    };
    writeList(report.loads, builder.initLoads(listSize(report.loads)), writeLoad);
    const auto writeRate = [](const EndpointRate& rate, Schema::StatedRate::Builder it) {
        it.setEndpoint(rate.endpoint);
        it.setPerSecond(rate.perSecond);
        it.setAgeMs(toNumber<uint32_t>(rate.age));
    };
    writeList(report.rates, builder.initRates(listSize(report.rates)), writeRate);
}

SlotReport readSlotReport(Schema::SlotReport::Reader reader)
{
    SlotReport report;
    report.sequence = reader.getSequence();
    report.acknowledged = reader.getAcknowledged();
    report.isLeaving = reader.getIsLeaving();
    report.expectsReply = reader.getExpectsReply();
    report.requests = readList<QueuedRequest>(reader.getRequests(), readRequest);
    report.items = readList<QueuedItem>(reader.getItems(), readItem);
    report.held = readList<HeldSlot>(reader.getSlots(), readSlot);
    report.queued = readNumbers(reader.getQueued());
    report.running = readNumbers(reader.getRunning());
    report.finished = readList<FinishedWork>(reader.getFinished(), readFinished);
    report.loads = readList<EndpointLoad>(reader.getLoads(), [](Schema::EndpointLoad::Reader it) {
        return EndpointLoad { it.getEndpoint(), { it.getRunning(), it.getWaiting(), it.getWorkTimePercent() } };
    });
    report.rates = readList<EndpointRate>(reader.getRates(), [](Schema::StatedRate::Reader it) {
        return EndpointRate { it.getEndpoint(), it.getPerSecond(), Milliseconds { it.getAgeMs() } };
    });
    std::erase_if(report.rates, [](const EndpointRate& it) { return !isRate(it.perSecond); });
    return report;
}

void writeSlotReply(const SlotReply& reply, Schema::SlotReply::Builder builder)
{
    builder.setSequence(reply.sequence);
    builder.setAcknowledged(reply.acknowledged);
    builder.setNeedsAllWork(reply.needsAllWork);
    writeList(reply.decisions, builder.initDecisions(listSize(reply.decisions)), writeDecision);
}

SlotReply readSlotReply(Schema::SlotReply::Reader reader)
{
    SlotReply reply { reader.getSequence(), reader.getAcknowledged(), reader.getNeedsAllWork(), {} };
    for (const auto it : reader.getDecisions()) {
        if (auto decision = readDecision(it))
            reply.decisions.push_back(std::move(*decision));
    }
    return reply;
}

}
