#pragma once

#include "kumquatbank/routing/StopSchedule.h"

#include <cstdint>
#include <optional>

namespace kumquatbank {

/// What the sessions of a process have in common: their number, and how they end once the process is told to stop.
struct SessionTracker {
    int open = 0;
    std::uint64_t opened = 0;
    std::optional<StopSchedule> stop; ///< Set once the process is to stop.

    bool isStopping() const { return stop.has_value(); }
    /// The latest time for the result of a statement.
    BootTime answersEnd() const { return stop ? stop->answersEnd() : BootTime::max(); }
};

} // namespace kumquatbank
