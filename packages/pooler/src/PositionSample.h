#pragma once

#include "kumquatbank/core/LogPosition.h"

#include <chrono>
#include <string>

namespace kumquatbank {

/// A log position of a service's primary, as reported by one host to another.
struct PositionSample {
    std::string primary; ///< Endpoint at that position; empty if the reporting host no longer considers it the primary.
    LogPosition position;
    /// Time from taking the sample to the request that it answers, rounded up; negative if the sample was taken after
    /// the request.
    std::chrono::milliseconds age { 0 };
};

} // namespace kumquatbank
