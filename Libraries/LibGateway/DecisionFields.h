#pragma once

#include <LibGateway/SlotTypes.h>

#include <QJsonObject>

#include <optional>

namespace Chicorydock {

/// Adds the slot state on which a decision was based to the details of a log event. May be called from any thread.
void addDecisionFields(QJsonObject& details, const SlotView&);

/// Adds the rate limit that an endpoint states in a response, if it states one. May be called from any thread.
void addRateLimit(QJsonObject& details, const std::optional<double>& rateLimit);

}
