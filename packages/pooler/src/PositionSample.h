#pragma once

#include "kumquatbank/core/LogPosition.h"

#include <chrono>
#include <string>

namespace kumquatbank {

/// A position that the primary of a service had, as one host tells it another.
struct PositionSample {
    std::string primary; ///< Endpoint that had it; empty if the teller no longer takes that one for the primary.
    LogPosition position;
    /// Time from taking the sample to the question that it answers, rounded up; negative if it was taken after it.
    std::chrono::milliseconds age { 0 };
};

} // namespace kumquatbank
