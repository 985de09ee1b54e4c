#pragma once

#include <LibConfiguration/Configuration.h>

#include <string>
#include <string_view>

namespace Chicorydock {

/// Returns the packed document of a complete configuration. May be called from any thread.
std::string encodeDocument(const Configuration&);

/// Returns a packed document that turns `base` into `target`: the difference, or the complete configuration if a
/// difference cannot express the change (items in another order). May be called from any thread.
///
/// Complete documents alone would exceed the control traffic allowed for a node: 560 workspaces are about 60 KB, which
/// is 10 KB/s at 14,000 changes a day.
std::string encodeDifference(const Configuration& base, const Configuration& target);

/// Reads a document. `held` is the configuration that a difference may refer to, or null.
/// Throws Error(InvalidConfiguration) if the document is malformed or refers to another base.
/// May be called from any thread.
Configuration decodeDocument(std::string_view document, const Configuration* held);

}
