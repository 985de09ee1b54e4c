#pragma once

#include "StoreFront.h"

#include <cstdint>
#include <vector>

namespace Chicorydock {

/// A disruption or a piece of planned work. Which members count depends on the action.
struct Step {
    enum class Action {
        Terminate,
        TerminateAgain,
        TerminateInStart,
        Reload,
        Freeze,
        Resume,
        Kill,
        Configure,
        Fault,
        Reset
    };

    double atMs { 0 };
    Action action { Action::Terminate };
    size_t node { 0 };
    StoreFront::Fault fault { StoreFront::Fault::None };
};

struct ScheduleOptions {
    size_t nodes { 12 };
    double durationMs { 40'000 };
    /// Only SIGTERM, one after the other and two at once, beside a store that drops its history and closes connections.
    bool stopsOnly { false };
};

/// Draws what a play does, in the order of time. Equal seeds and options give equal steps.
std::vector<Step> drawSchedule(uint64_t seed, const ScheduleOptions&);

const char* nameOf(Step::Action);
const char* nameOf(StoreFront::Fault);

}
