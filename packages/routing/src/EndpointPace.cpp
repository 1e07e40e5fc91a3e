#include "kumquatbank/routing/EndpointPace.h"

#include <algorithm>
#include <cmath>

namespace kumquatbank {

namespace {

    using std::chrono::milliseconds;

    /// An endpoint is slow if its average is above this multiple of the reference, and quick below the second one.
    constexpr double slowFactor = 2.0;
    constexpr double quickFactor = 1.5;
    /// Added to both limits. Covers differences between short statements, such as 6 ms writes and 18 ms reads.
    constexpr milliseconds slack { 10 };
    /// Bounds on the number of answers that the recent average covers.
    constexpr double minAveraged = 2;
    constexpr double maxAveraged = 8;
    /// Divisor of a new sample in the long-term average.
    constexpr double longSmoothing = 16;
    /// Averages older than this are not compared, and the next answer replaces them.
    constexpr milliseconds averageValidity { 5000 };
    constexpr milliseconds bestWindow { 10'000 };
    /// Databases are slow for some seconds after their start.
    constexpr milliseconds settlingTime { 10'000 };
    /// Beyond the last reduction the pace grows from any value to the full one in so many rounds of answers.
    constexpr double roundsToFull = 8;
    constexpr double halving = 0.5;
    constexpr double usesPerSlot = 1.5;
    /// Answers that are missing at the same time, as after a crash, count once.
    constexpr milliseconds missingInterval { 250 };
    /// With waiting requests and neither answers nor failures for this time, one more use is allowed.
    constexpr milliseconds silentGrowthInterval { 250 };

} // namespace

int EndpointPace::slotShare(int slots, int share, int maxConnections)
{
    const double part = static_cast<double>(share) / std::max(1, maxConnections);
    return std::max(1, static_cast<int>(std::ceil(usesPerSlot * slots * part)));
}

void EndpointPace::setBounds(int full, int slotShare)
{
    m_full = std::max(1, full);
    m_slotShare = std::clamp(slotShare, 1, m_full);
    if (m_isFresh)
        m_limit = m_slotShare;
}

void EndpointPace::restart()
{
    m_limit = m_slotShare;
    m_rampEnd = 0;
    m_isFresh = true;
    m_reason = Reason::Restarted;
    m_firstAnswer.reset();
    m_previousBest.reset();
}

int EndpointPace::limit() const { return std::clamp(static_cast<int>(m_limit), 1, m_full); }

EndpointPace::Average EndpointPace::slowLimit() const { return Average(*m_reference) * slowFactor + Average(slack); }

void EndpointPace::recordAnswer(Duration time, BootTime sentAt, int inUse, BootTime now)
{
    updateAverages(std::max(Average(time), Average(0)), now);
    m_isFresh = false;
    m_lastEvidence = now;
    if (isSlow()) {
        // Statements that were sent before the last reduction show the state before it.
        if (sentAt >= m_reducedAt)
            reduce(std::max(halving, slowLimit() / m_average), m_slotShare, Reason::Slow, now);
        return;
    }
    const bool isQuick = !m_reference || m_average <= Average(*m_reference) * quickFactor + Average(slack);
    if (isQuick && inUse >= limit())
        grow();
}

void EndpointPace::updateAverages(Average time, BootTime now)
{
    if (!m_firstAnswer || now - m_lastAnswer > averageValidity) {
        m_average = m_longAverage = time;
        m_firstAnswer = m_firstAnswer.value_or(now);
        m_best = time;
        m_previousBest.reset();
        m_bestSince = now;
    } else {
        m_average += (time - m_average) / std::clamp(m_limit, minAveraged, maxAveraged);
        m_longAverage += (time - m_longAverage) / longSmoothing;
    }
    m_lastAnswer = now;
    if (now - m_bestSince >= bestWindow) {
        m_previousBest = std::exchange(m_best, m_longAverage);
        m_bestSince = now;
    }
    m_best = std::min(m_best, m_longAverage);
}

void EndpointPace::grow()
{
    const bool isRamp = m_rampEnd == 0 || m_limit < m_rampEnd;
    const double step = isRamp ? 1.0 : std::max(1.0, m_full / roundsToFull) / m_limit;
    m_limit = std::min(m_limit + step, static_cast<double>(m_full));
}

void EndpointPace::reduce(double factor, int minimum, Reason reason, BootTime now)
{
    // The limit may be above the full value if the share was lowered, and below the minimum after failures.
    const double present = std::min(m_limit, static_cast<double>(m_full));
    m_limit = std::max(present * factor, std::min(present, static_cast<double>(minimum)));
    m_rampEnd = m_limit;
    m_reducedAt = now;
    m_reason = reason;
    m_isFresh = false;
}

void EndpointPace::recordRefusal(BootTime sentAt, BootTime now)
{
    m_lastEvidence = now;
    if (sentAt >= m_reducedAt)
        reduce(halving, 1, Reason::Refused, now);
}

void EndpointPace::recordMissingAnswer(BootTime now)
{
    m_lastEvidence = now;
    if (now - m_reducedAt >= missingInterval)
        reduce(halving, 1, Reason::Missing, now);
}

void EndpointPace::advance(int inUse, bool isWaiting, BootTime now)
{
    if (!isWaiting || inUse < limit() || now - m_lastEvidence < silentGrowthInterval)
        return;
    m_limit = std::min(m_limit + 1, static_cast<double>(m_full));
    m_lastEvidence = now;
}

std::optional<EndpointPace::Duration> EndpointPace::recentAverage(BootTime now) const
{
    if (!m_firstAnswer || now - m_lastAnswer > averageValidity)
        return std::nullopt;
    return std::chrono::duration_cast<Duration>(m_average);
}

std::optional<EndpointPace::Duration> EndpointPace::best() const
{
    if (!m_firstAnswer)
        return std::nullopt;
    return std::chrono::duration_cast<Duration>(std::min(m_best, m_previousBest.value_or(m_best)));
}

std::optional<EndpointPace::Duration> EndpointPace::settledBest(BootTime now) const
{
    return m_firstAnswer && now - *m_firstAnswer >= settlingTime ? best() : std::nullopt;
}

} // namespace kumquatbank
