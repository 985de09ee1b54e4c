#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Chicorydock {

/// Keys of updates that are still to be piggybacked on messages, the least often sent ones first.
///
/// Thread safety: none.
class TransmissionQueue {
public:
    /// Queues a key as not sent yet.
    void add(const std::string& key);
    void remove(const std::string& key);

    using SizeFunction = std::function<size_t(const std::string&)>;
    using LimitFunction = std::function<uint32_t(const std::string&)>;
    /// Returns at most `maxKeys` keys whose sizes add up to at most `bytes`, subtracts the sizes from `bytes` and
    /// counts each key as sent once more. Removes keys that have reached their limit of transmissions, and those of
    /// size 0.
    std::vector<std::string> selectForTransmission(
        size_t& bytes, const SizeFunction&, const LimitFunction&, size_t maxKeys = SIZE_MAX);

    size_t size() const { return m_counts.size(); }

private:
    std::unordered_map<std::string, uint32_t> m_counts;
    std::set<std::pair<uint32_t, std::string>> m_order;
};

}
