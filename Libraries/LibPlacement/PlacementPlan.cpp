#include <LibPlacement/PlacementPlan.h>

#include <LibCore/Digest.h>

#include <algorithm>

namespace Chicorydock {

namespace {

    LoadedModel toLoadedModel(const Model& model)
    {
        LoadedModel loaded { model.name, model.version, model.adapters };
        std::ranges::sort(loaded.adapters);
        return loaded;
    }

    std::vector<std::string> chooseEndpoints(const Model& model, const std::vector<PlacementEndpoint>& endpoints)
    {
        const uint64_t seed = stableHash(model.name);
        std::vector<std::pair<uint64_t, std::string>> ranked;
        for (const PlacementEndpoint& it : endpoints) {
            if (it.service == model.service)
                ranked.emplace_back(stableHash(it.id, seed), it.id);
        }
        std::ranges::sort(ranked, std::greater {});
        if (model.replicasPerDomain > 0 && model.replicasPerDomain < ranked.size())
            ranked.resize(model.replicasPerDomain);
        std::vector<std::string> ids;
        for (const auto& [hash, id] : ranked)
            ids.push_back(id);
        return ids;
    }

    /// Returns the model with that name, or null.
    const LoadedModel* findModel(const std::vector<LoadedModel>& models, const std::string& name)
    {
        const auto it = std::ranges::find(models, name, &LoadedModel::model);
        return it == models.end() ? nullptr : &*it;
    }

    bool hasModel(const EndpointState& state, const LoadedModel& desired)
    {
        const LoadedModel* loaded = findModel(state.models, desired.model);
        if (loaded == nullptr)
            return false;
        LoadedModel sorted = *loaded;
        std::ranges::sort(sorted.adapters);
        return sorted == desired;
    }

}

PlacementPlan makePlacementPlan(const Configuration& configuration, const std::vector<PlacementEndpoint>& endpoints)
{
    PlacementPlan plan;
    for (const PlacementEndpoint& it : endpoints)
        plan[it.id];
    for (const Model& model : configuration.models) {
        for (const std::string& id : chooseEndpoints(model, endpoints))
            plan[id].push_back(toLoadedModel(model));
    }
    return plan;
}

std::optional<EndpointOrder> nextOrder(
    const std::vector<LoadedModel>& desired, const EndpointState& observed, bool unloadsFirst)
{
    const auto missing = std::ranges::find_if(desired, [&](const auto& it) { return !hasModel(observed, it); });
    const auto extra = std::ranges::find_if(
        observed.models, [&](const auto& it) { return findModel(desired, it.model) == nullptr; });
    const bool loads = missing != desired.end() && !(unloadsFirst && extra != observed.models.end());
    if (loads)
        return EndpointOrder { EndpointOrder::Kind::Load, *missing, {}, 0 };
    if (extra != observed.models.end())
        return EndpointOrder { EndpointOrder::Kind::Unload, *extra, {}, 0 };
    return {};
}

}
