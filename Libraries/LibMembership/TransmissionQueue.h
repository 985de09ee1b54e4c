#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Chicorydock {

/// Keys of news that are still to be carried along in messages, those sent the least often first.
///
/// Thread safety: none.
class TransmissionQueue {
public:
    /// Queues a key as not sent yet.
    void add(const std::string& key);
    void remove(const std::string& key);

    using SizeFunction = std::function<size_t(const std::string&)>;
    using LimitFunction = std::function<uint32_t(const std::string&)>;
    /// Returns at most `maxKeys` keys whose sizes add up to at most `bytes`, which it reduces by them, and counts them
    /// as sent once. Keys that were sent as often as their limit, and those of size 0, leave the queue.
    std::vector<std::string> take(size_t& bytes, const SizeFunction&, const LimitFunction&, size_t maxKeys = SIZE_MAX);

    size_t size() const { return m_counts.size(); }

private:
    std::unordered_map<std::string, uint32_t> m_counts;
    std::set<std::pair<uint32_t, std::string>> m_order;
};

}
