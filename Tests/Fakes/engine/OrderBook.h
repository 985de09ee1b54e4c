#pragma once

#include <LibEndpoint/EndpointMessages.h>

#include <vector>

namespace Chicorydock {

/// Carries out orders and records all that arrived.
class OrderBook {
public:
    struct Entry {
        EndpointOrder order;
        bool wasRefused { false };

        auto operator<=>(const Entry&) const = default;
    };

    OrderBook(const std::vector<std::string>& models, std::string role, bool checkFencing);

    /// Returns false if the order carries an outdated fencing number and the engine checks it.
    bool apply(const EndpointOrder&);

    const EndpointState& state() const { return m_state; }
    const std::vector<Entry>& entries() const { return m_entries; }

    /// Returns whether the model, as a request names it, is loaded.
    bool isLoaded(const std::string& model) const;

private:
    void applyToModels(const EndpointOrder&);

    EndpointState m_state;
    std::vector<Entry> m_entries;
    bool m_checkFencing;
    bool m_servesEveryModel;
};

}
