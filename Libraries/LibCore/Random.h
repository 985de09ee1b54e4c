#pragma once

#include <cstdint>
#include <string>

namespace Chicorydock {

/// Source of random numbers. It is injected so that tests can use a fixed seed.
///
/// Thread safety: none; every owner uses its own instance.
class Random {
public:
    virtual ~Random() = default;

    /// Returns 64 uniformly distributed bits.
    virtual uint64_t next() = 0;

    /// Returns a uniformly distributed integer in [0, bound). Precondition: `bound` is positive.
    uint64_t below(uint64_t bound);

    /// Returns a uniformly distributed number in [0, 1).
    double unit();

    /// Returns an identifier of 32 hexadecimal digits.
    std::string identifier();
};

}
