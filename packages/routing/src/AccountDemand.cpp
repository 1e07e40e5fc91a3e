#include "kumquatbank/routing/AccountDemand.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace kumquatbank {

namespace {

    using Seconds = std::chrono::duration<double>;

    /// Long enough to tell accounts apart that use an endpoint every few seconds, and short enough to follow a change of a
    /// service's accounts within half a minute.
    constexpr Seconds halfLife { 15 };
    /// An account that sends at random is silent for this multiple of its mean interval in one case in twenty.
    constexpr double plausibleSilence = 3.0;
    /// Corresponds to one use in 86 s, more than the time for which an idle connection is kept, and is reached 30 s after a
    /// single use.
    constexpr double forgottenBelowUses = 0.25;

    /// Factor between a decaying sum and the rate of its additions.
    double perSecond() { return std::numbers::ln2 / halfLife.count(); }

} // namespace

void AccountDemand::recordUse(BootTime now)
{
    decay(now);
    m_uses += 1.0;
    m_lastUse = now;
}

void AccountDemand::recordHold(std::chrono::nanoseconds held, BootTime now)
{
    decay(now);
    m_heldSeconds += Seconds(held).count();
}

double AccountDemand::ratePerSecond(BootTime now) const
{
    const double average = m_uses * decayFactor(now) * perSecond();
    const double silence = Seconds(now - m_lastUse).count();
    return silence * average > plausibleSilence ? plausibleSilence / silence : average;
}

double AccountDemand::ratePerSecondOf(int n, BootTime now) const
{
    const double load = m_heldSeconds * decayFactor(now) * perSecond();
    double allInUse = 1.0;
    for (int others = 1; others < n; ++others)
        allInUse = load * allInUse / (others + load * allInUse);
    return ratePerSecond(now) * allInUse;
}

bool AccountDemand::isForgotten(BootTime now) const { return m_uses * decayFactor(now) < forgottenBelowUses; }

void AccountDemand::decay(BootTime now)
{
    const double factor = decayFactor(now);
    m_uses *= factor;
    m_heldSeconds *= factor;
    m_updatedAt = now;
}

double AccountDemand::decayFactor(BootTime now) const { return std::exp2(-Seconds(now - m_updatedAt) / halfLife); }

} // namespace kumquatbank
