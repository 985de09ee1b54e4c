#pragma once

#include <LibCore/Random.h>

#include <random>

namespace Chicorydock {

/// Pseudo-random numbers from a seed; the same seed gives the same sequence.
///
/// Thread safety: none.
class SeededRandom final : public Random {
public:
    explicit SeededRandom(uint64_t seed)
        : m_engine(seed)
    {
    }

    /// Returns a source whose seed comes from the operating system's entropy.
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
