#include <LibGateway/DecisionFields.h>

namespace Chicorydock {

void addDecisionFields(QJsonObject& details, const SlotView& view)
{
    if (view.slotCount == 0) {
        details["expected_wait_ms"] = static_cast<qint64>(view.expectedWait.count());
        return;
    }
    if (view.expectedSlotTime.count() > 0)
        details["expected_slot_ms"] = static_cast<qint64>(view.expectedSlotTime.count());
    details["slots"] = static_cast<qint64>(view.slotCount);
    details["slots_online"] = static_cast<qint64>(view.online);
    details["slots_batch"] = static_cast<qint64>(view.batch);
    if (view.age)
        details["slots_age_ms"] = static_cast<qint64>(view.age->count());
}

void addPlacement(QJsonObject& details, const std::string& service, const EndpointRecord* endpoint)
{
    details["service"] = QString::fromStdString(service);
    if (!endpoint)
        return;
    details["address"] = QString::fromStdString(endpoint->address);
    if (!endpoint->softwareVersion.empty())
        details["software_version"] = QString::fromStdString(endpoint->softwareVersion);
    if (endpoint->service != service)
        details["endpoint_service"] = QString::fromStdString(endpoint->service);
}

void addRun(QJsonObject& details, const EventRun& run)
{
    details["asked_after"] = static_cast<qint64>(run.askedAfter.value_or(0));
    if (run.firstId)
        details["first_event"] = static_cast<qint64>(*run.firstId);
    if (run.lastIdBefore)
        details["last_event"] = static_cast<qint64>(*run.lastIdBefore);
}

void addPromptRefusal(QJsonObject& details, const PromptDecision& refusal)
{
    details["prompt_part"] = QString::fromStdString(refusal.part);
    details["crashes"] = static_cast<qint64>(refusal.crashes);
    details["last_crash_ms"] = static_cast<qint64>(refusal.lastCrashAgo.count());
    details["retry_after_ms"] = static_cast<qint64>(refusal.retryAfter.count());
}

void addRateLimit(QJsonObject& details, const std::optional<double>& rateLimit)
{
    if (rateLimit && *rateLimit != unlimitedRate)
        details["rate_limit"] = *rateLimit;
}

}
