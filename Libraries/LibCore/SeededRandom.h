#pragma once

#include <LibCore/Random.h>

#include <random>

namespace Chicorydock {

/// Pseudo-random number generator; the same seed gives the same sequence.
///
/// Thread safety: none.
class SeededRandom final : public Random {
public:
    explicit SeededRandom(uint64_t seed)
        : m_engine(seed)
    {
    }

    /// Returns a generator that is seeded from the operating system's entropy source.
    static SeededRandom fromEntropy()
    {
        std::random_device device;
        return SeededRandom { (static_cast<uint64_t>(device()) << 32) | device() };
    }

    uint64_t next() override { return m_engine(); }

private:
    std::mt19937_64 m_engine;
};

}
