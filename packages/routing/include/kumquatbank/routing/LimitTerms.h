#pragma once

#include "kumquatbank/routing/ClientAccount.h"

#include <chrono>
#include <map>
#include <string>

namespace kumquatbank {

/// What the operators promise about the operations of one account that arrive at databases in any window, over all hosts:
/// at most (rate x window + burst) x (1 + overage) + slack.
struct LimitBound {
    std::chrono::seconds window { 5 };
    double overage = 0.1;
    double slack = 20; ///< Operations.

    double operationsPerWindow(const RateLimit& limit) const;

    bool operator==(const LimitBound&) const = default;
};

/// Times of the protocol between hosts and coordinators.
struct LimitTimes {
    /// For which a coordinator counts the share of a host, from the stamp that the host returned.
    static constexpr std::chrono::milliseconds lease { 1000 };
    /// Between two requests of a host to its coordinator. Three renewals fit into a lease.
    static constexpr std::chrono::milliseconds renewalInterval { 300 };
    /// For which a granted token admits operations, from the time at which the host requested it.
    static constexpr std::chrono::milliseconds grantValidity { 300 };
    /// For which an admitted operation may be sent, from its admission.
    static constexpr std::chrono::milliseconds sendAfterAdmission { 400 };
    /// For which an operation may be sent, from the request for its token. Below the sum of the two times above, because
    /// each second of it reduces the burst of every account by its rate.
    static constexpr std::chrono::milliseconds sendAfterGrant { 400 };
    /// For which tokens of another coordinator may be granted, from the time at which they were requested.
    static constexpr std::chrono::milliseconds exchangeValidity { 150 };
    /// For which an operation waits for a token.
    static constexpr std::chrono::milliseconds maxWait { 150 };
    /// For which the greatest number of hosts counts.
    static constexpr std::chrono::seconds hostCountRetention { 60 };
};

/// Token bucket of an account over all hosts, chosen such that LimitBound holds for what reaches databases.
struct LimitTerms {
    double perSecond = 0;
    double capacity = 0;
    /// Tokens that the fleet has when it starts, so that an account below one operation per second need not wait for its
    /// first token. Taken from the part of the slack that is kept in reserve.
    double startCredit = 0;

    /// Tokens that are granted in some interval reach databases in an interval that is longer by sendAfterGrant and
    /// exchangeValidity. The capacity is what the bound leaves beside the production of that time; for accounts with a
    /// burst far below their rate the production is reduced as well.
    static LimitTerms of(const RateLimit& limit, const LimitBound& bound);

    bool operator==(const LimitTerms&) const = default;
};

/// Terms of all accounts that have a limit, by name.
using LimitTermsByAccount = std::map<std::string, LimitTerms, std::less<>>;

} // namespace kumquatbank
