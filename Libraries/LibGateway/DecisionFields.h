#pragma once

#include <LibGateway/SlotTypes.h>

#include <QJsonObject>

namespace Chicorydock {

/// Adds the slot state on which a decision was based to the details of a log event. May be called from any thread.
void addDecisionFields(QJsonObject& details, const SlotView&);

}
