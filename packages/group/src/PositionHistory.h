#pragma once

#include "kumquatbank/core/core.h"

#include <deque>
#include <optional>

namespace kumquatbank {

/// Samples of the primary's position by this process's clock. They bound the age of a replica's data.
/// Not thread-safe; GroupView guards it.
class PositionHistory {
public:
    /// Records that the primary's log held no more than @p position at @p at. Pass the sending time of the
    /// request that read the position, so that a slow answer cannot make data look fresher than it is.
    void record(const LogPosition& position, TimePoint at);

    /// Age of data that ends at @p held: time since the latest sample it covers; empty without such a sample.
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
