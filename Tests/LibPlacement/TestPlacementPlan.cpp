#include <LibPlacement/PlacementPlan.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace Chicorydock;

namespace {

std::vector<PlacementEndpoint> makeEndpoints(int count)
{
    std::vector<PlacementEndpoint> endpoints;
    for (int n = 0; n < count; ++n)
        endpoints.push_back({ "e" + std::to_string(n), "10.0.0." + std::to_string(n) + ":8000", "assistant" });
    return endpoints;
}

Configuration makeConfiguration(uint32_t replicas)
{
    Configuration configuration;
    configuration.revision = 1;
    configuration.services = { { "assistant", Service::Kind::Engine, true, {}, 1500, 27 } };
    configuration.models
        = { { "rules", "assistant", "2", { "b", "a" }, replicas }, { "all", "assistant", "1", {}, 0 } };
    return configuration;
}

std::set<std::string> holders(const PlacementPlan& plan)
{
    std::set<std::string> ids;
    for (const auto& [id, models] : plan) {
        if (std::ranges::find(models, "rules", &LoadedModel::model) != models.end())
            ids.insert(id);
    }
    return ids;
}

}

// Guards against models that move between endpoints although only one endpoint was removed.
TEST_CASE("replicas are chosen by rendezvous hashing")
{
    const Configuration configuration = makeConfiguration(3);
    auto endpoints = makeEndpoints(10);
    const auto before = holders(makePlacementPlan(configuration, endpoints));
    CHECK(before.size() == 3);
    const std::string removed = *before.begin();
    std::erase_if(endpoints, [&](const auto& it) { return it.id == removed; });
    const PlacementPlan plan = makePlacementPlan(configuration, endpoints);
    auto after = holders(plan);
    CHECK(after.size() == 3);
    for (const std::string& it : before)
        CHECK((it == removed || after.contains(it)));
    for (const auto& [id, models] : plan)
        CHECK(models.back().model == "all");
    CHECK(holders(makePlacementPlan(makeConfiguration(20), endpoints)).size() == 9);
}

// Guards against orders for models that an endpoint already has, and against a wrong sequence of loads and unloads.
TEST_CASE("orders are the difference between the desired and the observed state")
{
    const std::vector<LoadedModel> desired { { "rules", "2", { "a", "b" } } };
    EndpointState state;
    state.models = { { "old", "1", {} }, { "rules", "1", {} } };
    CHECK(nextOrder(desired, state, false) == EndpointOrder { EndpointOrder::Kind::Load, desired[0], {}, 0 });
    CHECK(nextOrder(desired, state, true) == EndpointOrder { EndpointOrder::Kind::Unload, state.models[0], {}, 0 });
    state.models[1] = { "rules", "2", { "b", "a" } };
    CHECK(nextOrder(desired, state, false)->kind == EndpointOrder::Kind::Unload);
    state.models.erase(state.models.begin());
    CHECK_FALSE(nextOrder(desired, state, false));
}
