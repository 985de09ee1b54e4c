#include <Tests/Fakes/engine/OrderProcessor.h>

#include <algorithm>

namespace Chicorydock {

OrderProcessor::OrderProcessor(const std::vector<std::string>& models, std::string role, bool checkFencing)
    : m_checksFencing(checkFencing)
    , m_servesEveryModel(models.empty())
{
    m_state.role = std::move(role);
    for (const std::string& it : models)
        m_state.models.push_back({ .model = it, .version = {}, .adapters = {} });
}

bool OrderProcessor::apply(const EndpointOrder& order)
{
    const bool isOutdated = m_checksFencing && order.fencingNumber < m_state.fencingNumber;
    m_entries.push_back({ .order = order, .wasRefused = isOutdated });
    if (isOutdated)
        return false;
    if (m_checksFencing)
        m_state.fencingNumber = order.fencingNumber;
    if (order.kind == EndpointOrder::Kind::ChangeRole)
        m_state.role = order.role;
    else
        applyToModels(order);
    return true;
}

void OrderProcessor::applyToModels(const EndpointOrder& order)
{
    // An engine holds one version of a model.
    std::erase_if(m_state.models, [&](const LoadedModel& it) { return it.model == order.model.model; });
    if (order.kind == EndpointOrder::Kind::Load)
        m_state.models.push_back(order.model);
}

bool OrderProcessor::isLoaded(const std::string& model) const
{
    return m_servesEveryModel || std::ranges::any_of(m_state.models, [&](const LoadedModel& it) {
        return it.model == model || std::ranges::find(it.adapters, model) != it.adapters.end();
    });
}

}
