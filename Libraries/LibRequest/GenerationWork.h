#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibRouting/Work.h>

#include <QJsonObject>

namespace Chicorydock {

/// Describes a generation for the scheduler: estimated prompt size, token limit and prefix keys. The id, class and
/// deadline are left to the caller of this function. Precondition: the body passed `checkGenerationBody()`.
Work makeGenerationWork(const QJsonObject& body, const Model&, const Workspace&);

}
