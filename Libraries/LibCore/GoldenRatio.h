#pragma once

namespace Chicorydock {

/// Fractional part of the golden ratio. The fractional parts of its multiples are spread evenly over [0, 1), however
/// many of them there are.
constexpr double goldenRatio = 0.6180339887498949;

}
