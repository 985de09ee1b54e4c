#include <LibConfiguration/ConfigurationDocument.h>

#include <LibConfiguration/ConfigurationSchema.h>
#include <LibCore/Error.h>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>

#include <algorithm>
#include <unordered_map>
#include <unordered_set>

namespace Chicorydock {

namespace {

    using Names = std::vector<std::string>;

    struct Difference {
        Configuration changed;
        Names removedServices;
        Names removedModels;
        Names removedWorkspaces;
    };

    template <typename Item>
    void compareItems(
        const std::vector<Item>& base, const std::vector<Item>& target, std::vector<Item>& changed, Names& removed)
    {
        std::unordered_map<std::string_view, const Item*> before;
        for (const Item& it : base)
            before.emplace(it.name, &it);
        for (const Item& it : target) {
            const auto old = before.find(it.name);
            if (old == before.end() || *old->second != it)
                changed.push_back(it);
            if (old != before.end())
                before.erase(old);
        }
        for (const auto& [name, item] : before)
            removed.emplace_back(name);
        std::ranges::sort(removed);
    }

    template <typename Item>
    std::vector<Item> mergeItems(const std::vector<Item>& base, const std::vector<Item>& changed, const Names& removed)
    {
        const std::unordered_set<std::string_view> removedNames(removed.begin(), removed.end());
        std::unordered_map<std::string_view, const Item*> updates;
        for (const Item& it : changed)
            updates.emplace(it.name, &it);
        std::vector<Item> merged;
        for (const Item& it : base) {
            if (removedNames.contains(it.name))
                continue;
            const auto update = updates.find(it.name);
            merged.push_back(update == updates.end() ? it : *update->second);
            if (update != updates.end())
                updates.erase(update);
        }
        for (const Item& it : changed) {
            if (updates.contains(it.name))
                merged.push_back(it);
        }
        return merged;
    }

    Difference compare(const Configuration& base, const Configuration& target)
    {
        Difference difference;
        difference.changed.revision = target.revision;
        difference.changed.requestId = target.requestId;
        difference.changed.author = target.author;
        compareItems(base.services, target.services, difference.changed.services, difference.removedServices);
        compareItems(base.models, target.models, difference.changed.models, difference.removedModels);
        compareItems(base.workspaces, target.workspaces, difference.changed.workspaces, difference.removedWorkspaces);
        return difference;
    }

    Configuration merge(const Configuration& base, const Difference& difference)
    {
        Configuration merged = difference.changed;
        merged.services = mergeItems(base.services, difference.changed.services, difference.removedServices);
        merged.models = mergeItems(base.models, difference.changed.models, difference.removedModels);
        merged.workspaces = mergeItems(base.workspaces, difference.changed.workspaces, difference.removedWorkspaces);
        return merged;
    }

    std::string pack(capnp::MessageBuilder& message)
    {
        kj::VectorOutputStream stream;
        capnp::writePackedMessage(stream, message);
        const auto bytes = stream.getArray();
        return { reinterpret_cast<const char*>(bytes.begin()), bytes.size() };
    }

    void writeNames(const Names& names, capnp::List<capnp::Text>::Builder builder)
    {
        for (size_t n = 0; n < names.size(); ++n)
            builder.set(n, names[n]);
    }

    Names readNames(capnp::List<capnp::Text>::Reader list)
    {
        Names names;
        for (const auto& it : list)
            names.emplace_back(it.cStr(), it.size());
        return names;
    }

    std::string encode(uint64_t base, const Difference& difference)
    {
        capnp::MallocMessageBuilder message;
        auto delta = message.initRoot<Schema::ConfigurationDocument>().initDelta();
        delta.setBase(base);
        toSchema(difference.changed, delta.initChanged());
        writeNames(difference.removedServices, delta.initRemovedServices(difference.removedServices.size()));
        writeNames(difference.removedModels, delta.initRemovedModels(difference.removedModels.size()));
        writeNames(difference.removedWorkspaces, delta.initRemovedWorkspaces(difference.removedWorkspaces.size()));
        return pack(message);
    }

    Configuration readDelta(Schema::ConfigurationDelta::Reader delta, const Configuration* held)
    {
        if (held == nullptr || held->revision != delta.getBase())
            throw Error { ErrorKind::InvalidConfiguration, "configuration document: difference to another revision" };
        return merge(*held,
            { fromSchema(delta.getChanged()), readNames(delta.getRemovedServices()),
                readNames(delta.getRemovedModels()), readNames(delta.getRemovedWorkspaces()) });
    }

}

std::string encodeDocument(const Configuration& configuration)
{
    capnp::MallocMessageBuilder message;
    toSchema(configuration, message.initRoot<Schema::ConfigurationDocument>().initWhole());
    return pack(message);
}

std::string encodeDifference(const Configuration& base, const Configuration& target)
{
    const Difference difference = compare(base, target);
    if (merge(base, difference) != target)
        return encodeDocument(target);
    return encode(base.revision, difference);
}

Configuration decodeDocument(std::string_view document, const Configuration* held)
{
    try {
        kj::ArrayInputStream stream(kj::arrayPtr(reinterpret_cast<const kj::byte*>(document.data()), document.size()));
        capnp::PackedMessageReader message(stream);
        const auto root = message.getRoot<Schema::ConfigurationDocument>();
        return root.isDelta() ? readDelta(root.getDelta(), held) : fromSchema(root.getWhole());
    } catch (const kj::Exception& exception) {
        throw Error { ErrorKind::InvalidConfiguration,
            std::string("configuration document: ") + exception.getDescription().cStr() };
    }
}

}
