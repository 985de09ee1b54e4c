#pragma once

#include <LibGateway/GatewayConfiguration.h>

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Chicorydock {

/// Finds the workspace that a key belongs to. Immutable; built once for each configuration.
///
/// Load: a look-up costs one digest and the comparison of a few entries, whatever the number of keys. Which entries
/// these are depends on a secret salt, and each is compared as a whole, so that the time tells nothing about the keys.
///
/// Thread safety: may be used from any thread.
class KeyTable final {
public:
    /// A key that two workspaces claim. It admits nobody: the callers of one could read the jobs of the other.
    struct Conflict {
        std::string workspace;
        std::string other;

        auto operator<=>(const Conflict&) const = default;
    };

    KeyTable() = default;
    KeyTable(const std::vector<GatewayWorkspace>&, uint64_t salt);

    /// Returns the position of the workspace that the key belongs to, or nothing.
    std::optional<size_t> find(const QByteArray& key) const;

    /// Returns pairs of workspaces that claim the same key, for the log; not all of them if there are many.
    const std::vector<Conflict>& conflicts() const { return m_conflicts; }

private:
    static constexpr size_t digestBytes = 32;
    struct Entry {
        std::array<unsigned char, digestBytes> digest {};
        /// Position of the first workspace that claims the key.
        uint32_t workspace { 0 };
        bool isContested { false };
    };

    size_t bucketOf(const QByteArray& digest) const;
    Entry* findEntry(const QByteArray& digest);
    void add(const QByteArray& digest, uint32_t workspace, const std::vector<GatewayWorkspace>&);
    void recordConflict(Conflict);

    uint64_t m_salt { 0 };
    /// Entries by bucket. The number of buckets is a power of two and at least that of the entries.
    std::vector<std::vector<Entry>> m_buckets;
    std::vector<Conflict> m_conflicts;
};

}
