#include <LibGateway/StoreAvailability.h>

#include <algorithm>

namespace Chicorydock {

namespace {

    /// Part of the peers, as 1/n, that must have reached the store all the time. A few nodes that were paused during an
    /// outage do not notice it; more than that are hardly paused at once.
    constexpr size_t agreeingPart = 4;

}

std::optional<MonotonicTime> storeAvailableSince(std::vector<std::optional<MonotonicTime>> reachableSince)
{
    const size_t others = reachableSince.size() / agreeingPart;
    std::erase(reachableSince, std::nullopt);
    if (reachableSince.size() <= others)
        return {};
    std::ranges::nth_element(reachableSince, reachableSince.begin() + static_cast<ptrdiff_t>(others));
    return reachableSince[others];
}

}
