#pragma once

#include <LibEndpoint/EndpointMessages.h>

#include <vector>

namespace Chicorydock {

/// Applies orders to the state of the engine and records every order received.
class OrderProcessor {
public:
    struct Entry {
        EndpointOrder order;
        bool wasRefused { false };

        auto operator<=>(const Entry&) const = default;
    };

    OrderProcessor(const std::vector<std::string>& models, std::string role, bool checkFencing);

    /// Returns false if the order carries an outdated fencing number and the engine checks it.
    bool apply(const EndpointOrder&);

    const EndpointState& state() const { return m_state; }
    const std::vector<Entry>& entries() const { return m_entries; }

    /// Returns whether requests for a model or adapter of this name are served.
    bool isLoaded(const std::string& model) const;

private:
    void applyToModels(const EndpointOrder&);

    EndpointState m_state;
    std::vector<Entry> m_entries;
    bool m_checksFencing;
    bool m_servesEveryModel;
};

}
