#pragma once

#include "kumquatbank/core/BootClock.h"

#include <set>
#include <string>

namespace kumquatbank {

/// Which endpoints of a service may serve a request.
enum class Eligibility {
    PrimaryOnly,
    Any, ///< Replicas, and the primary if no replica has a lower cost.
};

/// Whose use of a permit is measured, and in which part of the load.
struct PermitCharge {
    Eligibility eligibility = Eligibility::Any;
    std::string account; ///< Empty for clients without one.
};

/// A request for the use of one database connection.
struct PermitRequest {
    Eligibility eligibility = Eligibility::Any;
    int priority = 0; ///< 0 is the most urgent.
    BootTime queueDeadline; ///< The request is refused if it has no permit by then.
    std::set<std::string> excluded {}; ///< Endpoints on which this request has already failed.
    std::string account {}; ///< Empty for clients without one.
    double accountWeight = 0; ///< Operations per second that the account may use; 0 if it has no limit.
    bool isRepeatable = false; ///< A read that can still be repeated on another endpoint; may be sent as a probe.

    PermitCharge charge() const { return { eligibility, account }; }
};

} // namespace kumquatbank
