#include <LibGateway/FurtherRun.h>

namespace Chicorydock {

std::optional<EndpointRecord> endpointForFurtherRun(const GatewayEnvironment& environment, const std::string& endpoint,
    const std::string& service, const std::optional<std::string>& softwareVersion, const EndpointAnswerHead& head)
{
    const bool isLimited = head.rateLimit && *head.rateLimit != unlimitedRate;
    if (isLimited || environment.shouldDeferToPeers())
        return {};
    return environment.directory.findFor(endpoint, service, softwareVersion);
}

}
