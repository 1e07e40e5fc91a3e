#include "kumquatbank/routing/LimitTerms.h"

#include <algorithm>

namespace kumquatbank {

using Seconds = std::chrono::duration<double>;

namespace {

    /// Additional length of the window: the way from a host to a database, and hosts that do not know of a new host yet.
    constexpr Seconds windowMargin { 0.1 };
    /// Least capacity beside the half of the slack, in seconds of the limited rate. Covers the time between two requests of
    /// a busy host and its deviation.
    constexpr Seconds capacityTime { 0.15 };

} // namespace

double LimitBound::operationsPerWindow(const RateLimit& limit) const
{
    return (limit.perSecond * Seconds(window).count() + limit.burst) * (1 + overage) + slack;
}

LimitTerms LimitTerms::of(const RateLimit& limit, const LimitBound& bound)
{
    const Seconds span = Seconds(bound.window) + LimitTimes::sendAfterGrant + LimitTimes::exchangeValidity + windowMargin;
    // Half of the slack lets accounts below one operation per second gather whole tokens; the other half stays in reserve.
    const double reserve = bound.slack / 2;
    const double budget = bound.operationsPerWindow(limit) - reserve;
    const double leastCapacity = std::min(budget, bound.slack / 2 + limit.perSecond * capacityTime.count());
    LimitTerms terms;
    // The bound allows the burst in every window, so steady demand may exceed the rate by as much. A burst above one second
    // of the rate is meant for single moments.
    const double burstPerSecond = std::min(limit.burst, limit.perSecond) / Seconds(bound.window).count();
    terms.perSecond = std::min((budget - leastCapacity) / span.count(), limit.perSecond + burstPerSecond);
    terms.capacity = std::max(leastCapacity, std::min(budget - terms.perSecond * span.count(), limit.burst + bound.slack / 2));
    terms.startCredit = reserve / 2;
    return terms;
}

} // namespace kumquatbank
