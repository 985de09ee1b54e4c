#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibRouting/Work.h>

#include <QJsonObject>

namespace Chicorydock {

/// Returns the scheduler's view of a generation: prompt size, limit and prefixes. The id, class and deadline are the
/// caller's to set. Precondition: the body passed `checkGenerationBody()`.
Work makeGenerationWork(const QJsonObject& body, const Model&, const Workspace&);

}
