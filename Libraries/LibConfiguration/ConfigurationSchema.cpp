#include <LibConfiguration/ConfigurationSchema.h>

#include <LibCore/Error.h>

namespace Chicorydock {

namespace {

    // Far above the planned scale; bounds the memory that a malformed message can use.
    constexpr size_t maxItems = 100'000;

    std::string readText(capnp::Text::Reader text) { return { text.cStr(), text.size() }; }

    template <typename List> size_t checkedSize(const List& list, const char* name)
    {
        if (list.size() > maxItems)
            throw Error { ErrorKind::InvalidConfiguration, std::string("configuration: too many ") + name };
        return list.size();
    }

    std::vector<std::string> readTexts(capnp::List<capnp::Text>::Reader list, const char* name)
    {
        std::vector<std::string> texts;
        texts.reserve(checkedSize(list, name));
        for (const auto& it : list)
            texts.push_back(readText(it));
        return texts;
    }

    void writeTexts(const std::vector<std::string>& texts, capnp::List<capnp::Text>::Builder builder)
    {
        for (size_t n = 0; n < texts.size(); ++n)
            builder.set(n, texts[n]);
    }

    void writeService(const Service& service, Schema::Service::Builder builder)
    {
        builder.setName(service.name);
        builder.setKind(static_cast<Schema::Service::Kind>(service.kind));
        builder.setChecksFencing(service.checksFencing);
        writeTexts(service.unrepeatableRoutes, builder.initUnrepeatableRoutes(service.unrepeatableRoutes.size()));
        builder.setFirstTokenTargetMs(service.firstTokenTargetMs);
        builder.setTokenGapTargetMs(service.tokenGapTargetMs);
    }

    Service readService(Schema::Service::Reader reader)
    {
        const auto kind = static_cast<uint16_t>(reader.getKind());
        const std::string name = readText(reader.getName());
        if (kind > static_cast<uint16_t>(Service::Kind::Plain))
            throw Error { ErrorKind::InvalidConfiguration, "service \"" + name + "\": kind: unknown value" };
        return {
            name,
            static_cast<Service::Kind>(kind),
            reader.getChecksFencing(),
            readTexts(reader.getUnrepeatableRoutes(), "unrepeatable routes"),
            reader.getFirstTokenTargetMs(),
            reader.getTokenGapTargetMs(),
        };
    }

    void writeModel(const Model& model, Schema::Model::Builder builder)
    {
        builder.setName(model.name);
        builder.setService(model.service);
        builder.setVersion(model.version);
        writeTexts(model.adapters, builder.initAdapters(model.adapters.size()));
        builder.setReplicasPerDomain(model.replicasPerDomain);
    }

    Model readModel(Schema::Model::Reader reader)
    {
        return {
            readText(reader.getName()),
            readText(reader.getService()),
            readText(reader.getVersion()),
            readTexts(reader.getAdapters(), "adapters"),
            reader.getReplicasPerDomain(),
        };
    }

    void writeWorkspace(const Workspace& workspace, Schema::Workspace::Builder builder)
    {
        builder.setName(workspace.name);
        writeTexts(workspace.keyDigests, builder.initKeyDigests(workspace.keyDigests.size()));
        builder.setWorth(workspace.worth);
        builder.setMaxInFlight(workspace.maxInFlight);
    }

    Workspace readWorkspace(Schema::Workspace::Reader reader)
    {
        return {
            readText(reader.getName()),
            readTexts(reader.getKeyDigests(), "key digests"),
            reader.getWorth(),
            reader.getMaxInFlight(),
        };
    }

}

void toSchema(const Configuration& configuration, Schema::Configuration::Builder builder)
{
    builder.setRevision(configuration.revision);
    builder.setRequestId(configuration.requestId);
    builder.setAuthor(configuration.author);
    auto services = builder.initServices(configuration.services.size());
    for (size_t n = 0; n < configuration.services.size(); ++n)
        writeService(configuration.services[n], services[n]);
    auto models = builder.initModels(configuration.models.size());
    for (size_t n = 0; n < configuration.models.size(); ++n)
        writeModel(configuration.models[n], models[n]);
    auto workspaces = builder.initWorkspaces(configuration.workspaces.size());
    for (size_t n = 0; n < configuration.workspaces.size(); ++n)
        writeWorkspace(configuration.workspaces[n], workspaces[n]);
}

Configuration fromSchema(Schema::Configuration::Reader reader)
{
    Configuration configuration;
    configuration.revision = reader.getRevision();
    configuration.requestId = readText(reader.getRequestId());
    configuration.author = readText(reader.getAuthor());
    configuration.services.reserve(checkedSize(reader.getServices(), "services"));
    for (const auto& it : reader.getServices())
        configuration.services.push_back(readService(it));
    configuration.models.reserve(checkedSize(reader.getModels(), "models"));
    for (const auto& it : reader.getModels())
        configuration.models.push_back(readModel(it));
    configuration.workspaces.reserve(checkedSize(reader.getWorkspaces(), "workspaces"));
    for (const auto& it : reader.getWorkspaces())
        configuration.workspaces.push_back(readWorkspace(it));
    return configuration;
}

}
