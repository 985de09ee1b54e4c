#include <LibGateway/GatewayConfiguration.h>

#include <algorithm>

namespace Chicorydock {

bool GatewayRoute::leadsTo(std::string_view service) const
{
    return std::ranges::any_of(shares, [&](const ServiceShare& it) { return it.service == service && it.weight > 0; });
}

bool GatewayRoute::isServable() const
{
    return std::ranges::any_of(shares, [](const ServiceShare& it) { return it.weight > 0; });
}

const GatewayRoute* GatewayConfiguration::findRoute(std::string_view host, std::string_view path) const
{
    const GatewayRoute* best = nullptr;
    for (const GatewayRoute& it : routes) {
        if (it.host.empty() || it.prefix.empty())
            continue;
        if (it.host != host || !path.starts_with(it.prefix))
            continue;
        if (!best || it.prefix.size() > best->prefix.size())
            best = &it;
    }
    return best;
}

const GatewayRoute* GatewayConfiguration::findJobRoute(std::string_view name, std::string_view host) const
{
    const auto it = std::ranges::find_if(routes, [&](const GatewayRoute& route) {
        // The kind of a route without services may be one that could not be read.
        const bool isForJobs = route.kind == RouteKind::Batch || !route.isServable();
        return isForJobs && route.name == name && route.host == host;
    });
    return it == routes.end() ? nullptr : &*it;
}

bool GatewayConfiguration::allowsAnonymousJobs(std::string_view host) const
{
    return std::ranges::any_of(routes,
        [&](const GatewayRoute& it) { return it.kind == RouteKind::Batch && it.allowsAnonymous && it.host == host; });
}

std::string chooseService(const std::vector<ServiceShare>& shares, double draw)
{
    uint64_t totalWeight = 0;
    for (const ServiceShare& it : shares)
        totalWeight += it.weight;
    double remaining = draw * static_cast<double>(totalWeight);
    for (const ServiceShare& it : shares) {
        remaining -= it.weight;
        if (remaining < 0)
            return it.service;
    }
    return {};
}

}
