#pragma once

#include <LibGateway/SlotScheduler.h>

#include <QJsonObject>

namespace Chicorydock {

/// Adds what a decision went by to the details of a log line. May be called from any thread.
void addDecisionFields(QJsonObject& details, const SlotView&);

}
