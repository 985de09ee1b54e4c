#pragma once

#include <LibConfiguration/Configuration.h>

namespace Chicorydock {

/// Returns a valid configuration with an engine service, a plain service, a model and a workspace.
inline Configuration sampleConfiguration(const std::string& requestId = "change-1")
{
    Configuration configuration;
    configuration.requestId = requestId;
    configuration.author = "marisol";
    configuration.services = {
        { "flag-assistant", Service::Kind::Engine, true, {}, 1500, 27 },
        { "registry", Service::Kind::Plain, false, { "POST /certificates" }, 1500, 27 },
    };
    configuration.models = { { "rink-rules", "flag-assistant", "3", { "judges", "dyers" }, 2 } };
    configuration.workspaces = { { "north-rink", { std::string(64, 'a') }, 2.5, 8 } };
    return configuration;
}

}
