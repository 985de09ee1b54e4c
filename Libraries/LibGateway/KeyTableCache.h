#pragma once

#include <LibCore/Random.h>
#include <LibGateway/KeyTable.h>

#include <memory>

namespace Chicorydock {

/// Keeps the keys of the latest configuration that it was asked for.
///
/// Thread safety: none.
class KeyTableCache final {
public:
    /// Returns the keys of the configuration. The reference is valid until the next call.
    const KeyTable& of(const std::shared_ptr<const GatewayConfiguration>& configuration, Random& random)
    {
        if (m_configuration == configuration)
            return m_keys;
        m_configuration = configuration;
        const bool isEmpty = configuration->workspaces.empty();
        m_keys = isEmpty ? KeyTable() : KeyTable(configuration->workspaces, random.next());
        return m_keys;
    }

private:
    std::shared_ptr<const GatewayConfiguration> m_configuration;
    KeyTable m_keys;
};

}
