#pragma once

#include "Simulation.h"

#include <optional>
#include <string>
#include <vector>

namespace Chicorydock {

/// One measured value of one run.
struct Metric {
    std::string name;
    double value { 0 };
    /// Bound on the value. Without it the value is only reported.
    std::optional<double> target;
    /// Whether the target is a lower bound rather than an upper one.
    bool isLowerBound { false };
};

/// A group of measurements that share their runs.
struct Row {
    std::string name;
    std::vector<Metric> (*run)(Policy, uint64_t seed);
};

/// Returns all rows.
const std::vector<Row>& rows();

}
