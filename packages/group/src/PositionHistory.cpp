#include "PositionHistory.h"

#include <algorithm>

namespace kumquatbank {

namespace {

    // 4096 samples, 10 ms apart, cover at least 40 s, which is longer than any useful maxAge.
    constexpr Milliseconds sampleSpacing { 10 };
    constexpr std::size_t maxSamples = 4096;

} // namespace

void PositionHistory::record(const LogPosition& position, TimePoint at)
{
    if (!m_samples.empty()) {
        auto& last = m_samples.back();
        // Samples arrive from several threads; one that arrives out of order adds no information.
        if (at < last.at || position < last.position)
            return;
        const bool isClose = m_samples.size() > 1 && at - m_samples[m_samples.size() - 2].at < sampleSpacing;
        if (isClose) {
            last = { position, at };
            return;
        }
    }
    m_samples.push_back({ position, at });
    if (m_samples.size() > maxSamples)
        m_samples.pop_front();
}

std::optional<Milliseconds> PositionHistory::age(const LogPosition& held, TimePoint now) const
{
    const auto it = std::find_if(m_samples.rbegin(), m_samples.rend(),
        [&](const Sample& sample) { return held.covers(sample.position); });
    if (it == m_samples.rend())
        return std::nullopt;
    return std::chrono::duration_cast<Milliseconds>(now - it->at);
}

std::optional<LogPosition> PositionHistory::minimumPositionFor(Milliseconds maxAge, TimePoint now) const
{
    const auto it = std::ranges::lower_bound(m_samples, now - maxAge, {}, &Sample::at);
    if (it == m_samples.end())
        return std::nullopt;
    return it->position;
}

std::optional<TimePoint> PositionHistory::firstSampleCovering(const LogPosition& position) const
{
    // Searched from the newest sample, because callers look up recent positions.
    const auto it = std::find_if_not(m_samples.rbegin(), m_samples.rend(),
        [&](const Sample& sample) { return sample.position.covers(position); });
    if (it == m_samples.rbegin())
        return std::nullopt;
    return std::prev(it)->at;
}

} // namespace kumquatbank
