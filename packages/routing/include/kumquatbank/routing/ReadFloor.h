#pragma once

#include "kumquatbank/core/LogPosition.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <optional>

namespace kumquatbank {

/// History of the log positions of one service's primary, from which the position that an endpoint must have applied to
/// serve a read is computed. A sample states that every commit acknowledged before `takenAt` is at or before
/// `position`.
template <typename Clock>
class ReadFloor {
public:
    using TimePoint = typename Clock::time_point;
    using Duration = std::chrono::milliseconds;

    struct Sample {
        LogPosition position;
        TimePoint takenAt;
    };

    /// The newest commit of a session.
    struct SessionCommit {
        LogPosition position;
        TimePoint acknowledgedAt;
    };

    /// Adds a position that an endpoint reported while it was provably the primary. @p takenAt: time at which the
    /// request for it was sent. A later sample with a smaller position means that a change of primary rolled commits
    /// back; older samples may include those commits and are dropped, as are samples of an older term.
    void addSample(LogPosition position, TimePoint takenAt)
    {
        if (!m_samples.empty() && takenAt <= m_samples.back().takenAt)
            return;
        if (!m_samples.empty() && (position < m_samples.back().position || position.term > m_samples.back().position.term))
            m_samples.clear();
        if (isRedundant(position, takenAt))
            m_samples.back() = { position, takenAt };
        else
            m_samples.push_back({ position, takenAt });
        while (m_samples.size() > maxSamples)
            m_samples.pop_front();
    }

    /// Smallest known position that covers every commit acknowledged before @p now - @p maxStaleness, raised to the
    /// session's @p sessionCommit; empty if no sample is recent enough.
    std::optional<LogPosition> floorAt(TimePoint now, Duration maxStaleness, const SessionCommit& sessionCommit = {}) const
    {
        const auto it = std::ranges::find_if(m_samples, [&](const Sample& sample) { return sample.takenAt >= now - maxStaleness; });
        if (it == m_samples.end())
            return std::nullopt;
        // The newest sample covers every commit acknowledged before it; a commit that it does not cover was rolled
        // back.
        const bool wasRolledBack = sessionCommit.position > m_samples.back().position && sessionCommit.acknowledgedAt < m_samples.back().takenAt;
        return wasRolledBack ? m_samples.back().position : std::max(it->position, sessionCommit.position);
    }

    /// The newest sample, or null.
    const Sample* newest() const { return m_samples.empty() ? nullptr : &m_samples.back(); }

private:
    /// A sample that was taken less than this after its predecessor is replaced by the next sample.
    static constexpr Duration sampleSpacing { 40 };
    /// Covers about ten seconds at the sample spacing, which is above every staleness bound in use.
    static constexpr std::size_t maxSamples = 256;

    bool isRedundant(LogPosition position, TimePoint takenAt) const
    {
        if (m_samples.empty())
            return false;
        // Of two samples with the same position, the later one covers more commits.
        if (position == m_samples.back().position)
            return true;
        return m_samples.size() > 1 && takenAt - m_samples[m_samples.size() - 2].takenAt < sampleSpacing;
    }

    std::deque<Sample> m_samples; ///< Oldest first; positions never decrease.
};

} // namespace kumquatbank
