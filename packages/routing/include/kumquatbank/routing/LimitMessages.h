#pragma once

#include "kumquatbank/core/BootClock.h"

#include <map>
#include <optional>
#include <string>

namespace kumquatbank {

/// A time on the clock of one run of a coordinator.
struct LimitStamp {
    std::uint64_t run = 0; ///< Identifies the process that made the stamp.
    BootTime time {};

    bool operator==(const LimitStamp&) const = default;
};

/// Request of a host to a coordinator, or of a coordinator to that of another region.
struct LimitRequest {
    std::string host;
    int hosts = 0; ///< Size of the fleet as far as the sender knows; 0 if unknown.
    bool isExchange = false; ///< Sent by a coordinator: fractions of tokens are of use, and no share is lent.
    bool isFirstLease = false; ///< The share is lent for the first time since the host has started.
    std::optional<LimitStamp> stamp {}; ///< Lends the share of the host until the stamp + lease. Of the receiver.
    std::map<std::string, double, std::less<>> wants {}; ///< Tokens, by account.
};

/// Reply of a coordinator.
struct LimitReply {
    LimitStamp stamp;
    int hosts = 0; ///< Size of the fleet as far as the coordinator knows.
    /// No other process can still count the share of the host from an earlier run of it, as far as the coordinator knows.
    bool mayLendAtOnce = false;
    std::map<std::string, double, std::less<>> grants {}; ///< Tokens, by account.
    /// Accounts that got less than they wanted: when the next token is expected.
    std::map<std::string, std::chrono::milliseconds, std::less<>> retryAfter {};
};

} // namespace kumquatbank
