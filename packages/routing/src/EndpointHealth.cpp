#include "kumquatbank/routing/EndpointHealth.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace kumquatbank {

namespace {

    using std::chrono::milliseconds;

    constexpr int minStatements = 10;
    constexpr int enoughStatements = 20;
    /// Standard deviations of a one-sided confidence of 99 %.
    constexpr double confidenceDeviations = 2.33;
    constexpr double peerFactor = 2.0;
    constexpr double toleratedShare = 0.1;
    /// An endpoint that is ejected again within this time needs twice as many good probes as before.
    constexpr milliseconds repeatedEjectionTime { 30'000 };
    constexpr int maxRequiredProbes = 20;
    /// An ejected endpoint that gets no statement for this time is readmitted.
    constexpr milliseconds unknownTime { 30'000 };

    /// Lower bound of the Wilson score interval of a share.
    double lowerBound(const EndpointHealth::Counts& counts)
    {
        const double n = counts.statements;
        const double share = counts.failureShare();
        const double z2 = confidenceDeviations * confidenceDeviations;
        const double centre = share + z2 / (2 * n);
        const double halfWidth = confidenceDeviations * std::sqrt(share * (1 - share) / n + z2 / (4 * n * n));
        return (centre - halfWidth) / (1 + z2 / n);
    }

} // namespace

BootTime::duration::rep EndpointHealth::bucketNumber(BootTime at) { return at.time_since_epoch() / bucketTime; }

void EndpointHealth::record(bool hasFailed, BootTime now)
{
    const auto number = bucketNumber(now);
    auto& bucket = m_buckets.at(static_cast<std::size_t>(number) % bucketCount);
    if (bucket.number != number)
        bucket = { number, {} };
    ++bucket.counts.statements;
    bucket.counts.failures += hasFailed ? 1 : 0;
    m_lastOutcome = now;
    m_goodProbes = hasFailed ? 0 : m_goodProbes + 1;
}

EndpointHealth::Counts EndpointHealth::countNewest(int enough, BootTime now) const
{
    Counts counts;
    const auto present = bucketNumber(now);
    for (std::size_t age = 0; age < bucketCount && counts.statements < enough; ++age) {
        const auto number = present - static_cast<BootTime::duration::rep>(age);
        const auto& bucket = m_buckets.at(static_cast<std::size_t>(number) % bucketCount);
        if (bucket.number == number)
            counts += bucket.counts;
    }
    return counts;
}

EndpointHealth::Counts EndpointHealth::recent(BootTime now) const { return countNewest(std::numeric_limits<int>::max(), now); }

EndpointHealth::Counts EndpointHealth::newest(BootTime now) const { return countNewest(enoughStatements, now); }

bool EndpointHealth::isOutlier(const Counts& peers, BootTime now) const
{
    const auto own = newest(now);
    if (own.statements < minStatements || peers.statements < minStatements)
        return false;
    return lowerBound(own) > peerFactor * peers.failureShare() + toleratedShare;
}

void EndpointHealth::eject(BootTime now)
{
    const bool isRepeated = m_ejectedAt != BootTime() && now - m_ejectedAt < repeatedEjectionTime;
    m_requiredProbes = isRepeated ? std::min(m_requiredProbes * 2, maxRequiredProbes) : minRequiredProbes;
    m_isEjected = true;
    m_goodProbes = 0;
    m_ejectedAt = now;
    m_lastProbe = now;
}

void EndpointHealth::readmit()
{
    m_isEjected = false;
    clearCounts();
}

bool EndpointHealth::hasRecovered(BootTime now) const
{
    return m_isEjected && (m_goodProbes >= m_requiredProbes || now - std::max(m_lastOutcome, m_ejectedAt) >= unknownTime);
}

bool EndpointHealth::takeProbe(BootTime now)
{
    if (!m_isEjected || now - m_lastProbe < probeInterval)
        return false;
    m_lastProbe = now;
    return true;
}

} // namespace kumquatbank
