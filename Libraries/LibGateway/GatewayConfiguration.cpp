#include <LibGateway/GatewayConfiguration.h>

#include <algorithm>

namespace Chicorydock {

const GatewayRoute* GatewayConfiguration::findRoute(std::string_view host, std::string_view path) const
{
    const GatewayRoute* best = nullptr;
    for (const GatewayRoute& it : routes) {
        if (it.host != host || !path.starts_with(it.prefix))
            continue;
        if (!best || it.prefix.size() > best->prefix.size())
            best = &it;
    }
    return best;
}

const GatewayRoute* GatewayConfiguration::findRouteByName(std::string_view name) const
{
    const auto it = std::ranges::find(routes, name, &GatewayRoute::name);
    return it == routes.end() ? nullptr : &*it;
}

std::string chooseService(const GatewayRoute& route, double draw)
{
    uint64_t sum = 0;
    for (const ServiceShare& it : route.shares)
        sum += it.weight;
    double left = draw * static_cast<double>(sum);
    for (const ServiceShare& it : route.shares) {
        left -= it.weight;
        if (left < 0)
            return it.service;
    }
    return route.shares.empty() ? std::string() : route.shares.back().service;
}

}
