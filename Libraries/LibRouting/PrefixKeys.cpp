#include <LibRouting/PrefixKeys.h>

#include <LibCore/Digest.h>

namespace Chicorydock {

namespace {

    // A shorter prompt is cheaper to process than to route to an endpoint that has its prefix cached.
    constexpr size_t shortestPrefixBytes = 256;
    constexpr size_t maxPrefixes = 12;

}

std::vector<uint64_t> prefixKeys(std::string_view model, std::string_view prompt)
{
    std::vector<uint64_t> keys;
    uint64_t key = stableHash(model);
    size_t begin = 0;
    for (size_t end = shortestPrefixBytes; end <= prompt.size() && keys.size() < maxPrefixes; end *= 2) {
        key = stableHash(prompt.substr(begin, end - begin), key);
        keys.push_back(key);
        begin = end;
    }
    return keys;
}

}
