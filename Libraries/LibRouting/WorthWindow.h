#pragma once

#include <LibCore/Random.h>

#include <array>
#include <cstddef>

namespace Chicorydock {

/// Ranks the worth of a request among recent requests, to decide which ones are served under overload.
///
/// Thread safety: none.
class WorthWindow {
public:
    /// Returns the share of recent requests of lower worth, in [0, 1], and adds the new one to the window. Ties are
    /// broken at random.
    double rankAndAdd(double worth, Random&);

private:
    static constexpr size_t capacity = 256;

    std::array<double, capacity> m_ring {};
    std::array<double, capacity> m_sorted {};
    size_t m_size { 0 };
    size_t m_next { 0 };
};

}
