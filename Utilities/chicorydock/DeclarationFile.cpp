#include <Utilities/chicorydock/DeclarationFile.h>

#include <LibSettings/TomlTable.h>

#include <algorithm>
#include <set>

namespace Chicorydock {

namespace {

    using Presence = TomlTable::Presence;

    constexpr uint32_t maxTargetMs = 3'600'000;
    constexpr uint32_t maxReplicas = 100'000;
    constexpr uint32_t maxInFlightLimit = 1'000'000;
    constexpr double minWorth = 0.001;
    constexpr double maxWorth = 1000;

    TextRule route()
    {
        return { [](std::string_view text) {
                    const size_t space = text.find(' ');
                    return space != 0 && space != std::string_view::npos && text.substr(space + 1).starts_with('/')
                        && std::ranges::all_of(text.substr(0, space), [](char c) { return c >= 'A' && c <= 'Z'; });
                },
            "a route METHOD /path/prefix" };
    }

    /// Reports texts that occur more than once.
    class UniqueTexts {
    public:
        void check(TomlTable& table, std::string_view key, const std::string& text)
        {
            if (!text.empty() && !m_seen.insert(text).second)
                table.report(key, "\"" + text + "\" a second time", "each only once");
        }

    private:
        std::set<std::string> m_seen;
    };

    Service readService(TomlTable& table)
    {
        Service service;
        std::string kind = "engine";
        table.text("name", service.name, TextRule::identifier(), Presence::Required);
        table.text("kind", kind, TextRule::oneOf({ "engine", "plain" }));
        table.boolean("checks_fencing", service.checksFencing);
        table.textList("unrepeatable_routes", service.unrepeatableRoutes, route());
        table.number("first_token_target_ms", service.firstTokenTargetMs, 1, maxTargetMs);
        table.number("token_gap_target_ms", service.tokenGapTargetMs, 1, maxTargetMs);
        service.kind = kind == "plain" ? Service::Kind::Plain : Service::Kind::Engine;
        return service;
    }

    Model readModel(TomlTable& table, const Configuration& configuration)
    {
        Model model;
        table.text("name", model.name, TextRule::name(), Presence::Required);
        table.text("service", model.service, TextRule::identifier(), Presence::Required);
        table.text("version", model.version, TextRule::name(), Presence::Required);
        table.textList("adapters", model.adapters, TextRule::name());
        table.number("replicas_per_domain", model.replicasPerDomain, 0, maxReplicas);
        const Service* service = configuration.findService(model.service);
        if (!model.service.empty() && (!service || service->kind != Service::Kind::Engine))
            table.report("service", "\"" + model.service + "\"", "the name of a [[service]] of kind \"engine\"");
        return model;
    }

    Workspace readWorkspace(TomlTable& table)
    {
        Workspace workspace;
        table.text("name", workspace.name, TextRule::identifier(), Presence::Required);
        table.textList("key_digests", workspace.keyDigests, TextRule::sha256Digest());
        table.number("worth", workspace.worth, minWorth, maxWorth);
        table.number("max_in_flight", workspace.maxInFlight, 0, maxInFlightLimit);
        return workspace;
    }

}

Configuration parseDeclarations(std::string_view text, const std::string& fileName)
{
    Configuration configuration;
    UniqueTexts services;
    UniqueTexts models;
    UniqueTexts workspaces;
    UniqueTexts digests;
    readToml(text, fileName, [&](TomlTable& file) {
        file.tables("service", [&](TomlTable& table) {
            configuration.services.push_back(readService(table));
            services.check(table, "name", configuration.services.back().name);
        });
        // After the services, whatever the order in the file, because models refer to them.
        file.tables("model", [&](TomlTable& table) {
            configuration.models.push_back(readModel(table, configuration));
            models.check(table, "name", configuration.models.back().name);
        });
        file.tables("workspace", [&](TomlTable& table) {
            configuration.workspaces.push_back(readWorkspace(table));
            workspaces.check(table, "name", configuration.workspaces.back().name);
            for (const std::string& it : configuration.workspaces.back().keyDigests)
                digests.check(table, "key_digests", it);
        });
    });
    return configuration;
}

}
