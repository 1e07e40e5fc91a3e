#pragma once

#include "kumquatbank/core/BootClock.h"

namespace kumquatbank {

/// Recent use of one endpoint by one account: how often it needed a connection, and for how long it held them. Both
/// averages decay, so that an account that stops sending loses its weight.
class AccountDemand {
public:
    /// Records that the account needs a connection.
    void recordUse(BootTime now);
    /// Records that the account returned a connection after @p held.
    void recordHold(std::chrono::nanoseconds held, BootTime now);

    /// Uses per second. Never above what the time since the last use makes plausible: an account that falls silent is
    /// noticed well before its average has decayed.
    double ratePerSecond(BootTime now) const;

    /// Rate at which the @p n-th connection of the account is needed, counted from 1: the rate of uses that find the
    /// other n - 1 connections in use (Erlang's loss formula).
    double ratePerSecondOf(int n, BootTime now) const;

    /// Returns true if the account uses the endpoint so rarely that its record has no influence. This bounds the records
    /// by the traffic of half a minute.
    bool isForgotten(BootTime now) const;

private:
    void decay(BootTime now);
    double decayFactor(BootTime now) const;

    double m_uses = 0; ///< Decaying number of uses.
    double m_heldSeconds = 0; ///< Decaying sum of the times for which connections were held.
    BootTime m_updatedAt {};
    BootTime m_lastUse {};
};

} // namespace kumquatbank
