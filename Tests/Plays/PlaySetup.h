#pragma once

#include <review/standins/Json.h>
#include <review/standins/World.h>

#include <cstdlib>
#include <filesystem>
#include <string>
#include <vector>

namespace Plays {

/// Creates a folder for the logs and settings of a play, and returns its path.
inline std::string makeFolder()
{
    std::string name = std::filesystem::temp_directory_path() / "play-XXXXXX";
    return ::mkdtemp(name.data()) ? name : std::string("/tmp");
}

/// Returns a route `/NAME/` to a service, with two attempts.
inline Review::Json route(const std::string& name, const std::string& type, const std::string& service, bool canResume)
{
    return Review::Json::object(
        { { "name", name }, { "host", Review::World::host }, { "prefix", "/" + name + "/" }, { "route_type", type },
            { "timeout_ms", 4000 }, { "target_latency_ms", 500 }, { "priority", 0 }, { "service", service },
            { "max_attempts", 2 }, { "sticky", false }, { "can_resume", canResume }, { "gap_aim_ms", 250 } });
}

/// Returns the first configuration of a play, which takes bodies of up to 4 MiB.
inline std::string configuration(const std::vector<Review::Json>& routes, const std::vector<std::string>& services)
{
    using Review::Json;
    std::vector<Json> list;
    for (const std::string& it : services)
        list.push_back(Json::object({ { "name", it }, { "health_check_path", "/health" }, { "max_connections", 2000 },
            { "protocol", "h1" }, { "tls", false }, { "engine", Json::object({ { "slots", 4 } }) } }));
    const Json limits = Json::object({ { "max_header_bytes", 16384 }, { "max_body_bytes", 4194304 },
        { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } });
    return Json::object({ { "version", 7 }, { "routes", Json::array(routes) },
                            { "services", Json::array(std::move(list)) }, { "limits", limits } })
        .dump();
}

/// Returns the registration of an endpoint.
inline std::string registration(const std::string& service, const std::string& address, long slots)
{
    return Review::Json::object(
        { { "service", service }, { "address", address }, { "zone", "zone-a" }, { "version", "v1" }, { "slots", slots },
            { "state", "ready" }, { "cold_remaining_ms", 0 }, { "sequence", 1 }, { "born", 1 } })
        .dump();
}

}
