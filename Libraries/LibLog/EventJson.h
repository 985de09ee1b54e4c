#pragma once

#include <LibLog/EventLog.h>

namespace Chicorydock {

/// Returns the event as one entry of the JSON timeline: `time` (ISO 8601), `wall_ms`, `counter`, `node`,
/// `failure_domain`, `subject`, `action`, `id`, `trace_id` and `details`. May be called from any thread.
QJsonObject toJson(const Event&);

}
