#pragma once

#include "kumquatbank/core/BootClock.h"

#include <string_view>

namespace kumquatbank {

/// Whether an operation of an account may run.
struct LimitDecision {
    bool isAdmitted = true;
    std::chrono::milliseconds retryAfter { 0 }; ///< Set if refused: when to try again.
    std::string_view reason {}; ///< Set if refused; a literal.
    BootTime sendUntil = BootTime::max(); ///< Set if admitted: the operation needs another decision if it is sent later.
};

} // namespace kumquatbank
