#pragma once

#include <LibGateway/ReportPlan.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace Chicorydock {

/// A live peer from which this node can get the operator's configuration.
struct ConfigurationOffer {
    std::string node;
    /// `HOST:PORT` at which the peer serves its configuration.
    std::string address;
    PeerDistance distance { PeerDistance::OtherRegion };
    /// Version that the peer has in force.
    uint64_t version { 0 };
    /// Whether the peer reads the configuration from the store for its failure domain, and reaches the store.
    bool isSource { false };

    auto operator<=>(const ConfigurationOffer&) const = default;
};

/// Reports which live peers have a configuration.
class ConfigurationPeers {
public:
    virtual ~ConfigurationPeers() = default;

    virtual std::vector<ConfigurationOffer> configurationOffers() const = 0;
};

}
