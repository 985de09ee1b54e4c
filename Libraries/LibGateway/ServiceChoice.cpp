#include <LibGateway/ServiceChoice.h>

#include <algorithm>
#include <iterator>

namespace Chicorydock {

namespace {

    std::vector<ServiceShare> offeredShares(const GatewayRoute& route, const EndpointDirectory& directory)
    {
        std::vector<ServiceShare> offered;
        std::ranges::copy_if(route.shares, std::back_inserter(offered),
            [&](const ServiceShare& it) { return it.weight > 0 && directory.offers(it.service); });
        return offered;
    }

}

std::string chooseOfferedService(const GatewayRoute& route, const EndpointDirectory& directory, double draw)
{
    if (route.shares.size() == 1)
        return chooseService(route.shares, draw);
    const std::vector<ServiceShare> offered = offeredShares(route, directory);
    return chooseService(offered.empty() ? route.shares : offered, draw);
}

bool mayWaitFor(const std::string& service, const GatewayRoute& route, const EndpointDirectory& directory)
{
    return route.leadsTo(service) && (directory.offers(service) || offeredShares(route, directory).empty());
}

}
