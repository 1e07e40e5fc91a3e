#pragma once

#include "kumquatbank/core/core.h"

#include <deque>
#include <optional>

namespace kumquatbank {

/// Samples of the primary's position with the time of this process's clock. They bound the age of a replica's data.
/// Not thread-safe; guarded by GroupView's mutex.
class PositionHistory {
public:
    /// Records that the primary's log held no more than @p position at the time @p at. Pass the sending time of the
    /// request that read the position; otherwise a slow answer would make data appear more recent than it is.
    void record(const LogPosition& position, TimePoint at);

    /// Age of data up to @p held: the time since the latest sample that it covers; empty without such a sample.
    std::optional<Milliseconds> age(const LogPosition& held, TimePoint now) const;

    /// Position that data must cover to be at most @p maxAge old; empty if no sample is that recent.
    std::optional<LogPosition> minimumPositionFor(Milliseconds maxAge, TimePoint now) const;

    /// Time of the earliest sample that covers @p position; empty if none does.
    std::optional<TimePoint> firstSampleCovering(const LogPosition& position) const;

private:
    struct Sample {
        LogPosition position;
        TimePoint at;
    };
    std::deque<Sample> m_samples;
};

} // namespace kumquatbank
