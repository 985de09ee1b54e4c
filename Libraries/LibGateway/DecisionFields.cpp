#include <LibGateway/DecisionFields.h>

namespace Chicorydock {

void addDecisionFields(QJsonObject& details, const SlotView& view)
{
    if (view.slotCount == 0) {
        details["expected_wait_ms"] = static_cast<qint64>(view.expectedWait.count());
        return;
    }
    details["slots"] = static_cast<qint64>(view.slotCount);
    details["slots_online"] = static_cast<qint64>(view.online);
    details["slots_batch"] = static_cast<qint64>(view.batch);
    if (view.age)
        details["slots_age_ms"] = static_cast<qint64>(view.age->count());
}

void addRateLimit(QJsonObject& details, const std::optional<double>& rateLimit)
{
    if (rateLimit && *rateLimit != unlimitedRate)
        details["rate_limit"] = *rateLimit;
}

}
