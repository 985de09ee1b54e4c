#include <LibCore/Random.h>

#include <array>
#include <cassert>
#include <cstdio>

namespace Chicorydock {

uint64_t Random::below(uint64_t bound)
{
    assert(bound > 0);
    // Values in the incomplete last range are rejected, because they would bias the result.
    const uint64_t limit = UINT64_MAX - UINT64_MAX % bound;
    uint64_t value = next();
    while (value >= limit)
        value = next();
    return value % bound;
}

double Random::unit()
{
    // A double has a significand of 53 bits.
    return static_cast<double>(next() >> 11) * 0x1.0p-53;
}

std::string Random::identifier()
{
    std::array<char, 33> buf {};
    std::snprintf(buf.data(), buf.size(), "%016llx%016llx", static_cast<unsigned long long>(next()),
        static_cast<unsigned long long>(next()));
    return buf.data();
}

}
