#include <LibConfiguration/ConfigurationValidator.h>

#include <LibCore/Error.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace Chicorydock {

namespace {

    constexpr size_t maxNameLength = 128;
    constexpr size_t keyDigestLength = 64;

    [[noreturn]] void fail(const std::string& item, const std::string& field, const std::string& reason)
    {
        throw Error { ErrorKind::InvalidConfiguration, item + ": " + field + ": " + reason };
    }

    bool isNameCharacter(char c, bool allowsSlash)
    {
        const bool isAlphanumeric = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
        return isAlphanumeric || c == '-' || c == '_' || c == '.' || c == ':' || (c == '/' && allowsSlash);
    }

    void checkName(const std::string& item, const std::string& field, const std::string& name, bool allowsSlash = true)
    {
        if (name.empty())
            fail(item, field, "is empty");
        if (name.size() > maxNameLength)
            fail(item, field, "is longer than 128 characters");
        if (!std::ranges::all_of(name, [&](char c) { return isNameCharacter(c, allowsSlash); }))
            fail(item, field, "\"" + name + "\" has a character that is not allowed");
    }

    template <typename Items> void checkUniqueNames(const std::string& kind, const Items& items)
    {
        std::set<std::string_view> names;
        for (const auto& it : items) {
            if (!names.insert(it.name).second)
                fail(kind + " \"" + it.name + "\"", "name", "is used twice");
        }
    }

    void checkRoute(const std::string& item, const std::string& route)
    {
        const size_t space = route.find(' ');
        const bool hasMethod = space != std::string::npos && space > 0
            && std::all_of(route.begin(), route.begin() + static_cast<ptrdiff_t>(space),
                [](char c) { return c >= 'A' && c <= 'Z'; });
        if (!hasMethod || route.size() <= space + 1 || route[space + 1] != '/')
            fail(item, "unrepeatableRoutes", "\"" + route + "\" is not METHOD /path/prefix");
    }

    void checkService(const Service& service)
    {
        const std::string item = "service \"" + service.name + "\"";
        // The name is one segment of a path.
        checkName(item, "name", service.name, false);
        for (const std::string& it : service.unrepeatableRoutes)
            checkRoute(item, it);
        if (service.kind == Service::Kind::Engine && !service.unrepeatableRoutes.empty())
            fail(item, "unrepeatableRoutes", "only plain services have routes");
        if (service.firstTokenTargetMs == 0)
            fail(item, "firstTokenTargetMs", "is 0");
        if (service.tokenGapTargetMs == 0)
            fail(item, "tokenGapTargetMs", "is 0");
    }

    void checkModel(const Configuration& configuration, const Model& model)
    {
        const std::string item = "model \"" + model.name + "\"";
        checkName(item, "name", model.name);
        checkName(item, "version", model.version);
        const Service* service = configuration.findService(model.service);
        if (service == nullptr)
            fail(item, "service", "\"" + model.service + "\" is not declared");
        if (service->kind != Service::Kind::Engine)
            fail(item, "service", "\"" + model.service + "\" is not an engine service");
        std::set<std::string_view> adapters;
        for (const std::string& it : model.adapters) {
            checkName(item, "adapters", it);
            if (!adapters.insert(it).second)
                fail(item, "adapters", "\"" + it + "\" is listed twice");
        }
    }

    bool isKeyDigest(const std::string& digest)
    {
        return digest.size() == keyDigestLength
            && std::ranges::all_of(digest, [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
    }

    void checkWorkspaces(const std::vector<Workspace>& workspaces)
    {
        std::set<std::string_view> digests;
        for (const Workspace& workspace : workspaces) {
            const std::string item = "workspace \"" + workspace.name + "\"";
            checkName(item, "name", workspace.name);
            if (!std::isfinite(workspace.worth) || workspace.worth <= 0)
                fail(item, "worth", "is not a positive number");
            for (const std::string& it : workspace.keyDigests) {
                if (!isKeyDigest(it))
                    fail(item, "keyDigests", "an entry is not 64 lower-case hexadecimal digits");
                if (!digests.insert(it).second)
                    fail(item, "keyDigests", "a key belongs to two workspaces or is listed twice");
            }
        }
    }

}

void validate(const Configuration& configuration)
{
    checkName("configuration", "requestId", configuration.requestId);
    if (configuration.author.size() > maxNameLength)
        fail("configuration", "author", "is longer than 128 characters");
    checkUniqueNames("service", configuration.services);
    checkUniqueNames("model", configuration.models);
    checkUniqueNames("workspace", configuration.workspaces);
    for (const Service& it : configuration.services)
        checkService(it);
    for (const Model& it : configuration.models)
        checkModel(configuration, it);
    checkWorkspaces(configuration.workspaces);
}

}
