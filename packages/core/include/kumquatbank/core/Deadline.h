#pragma once

#include "kumquatbank/core/Clock.h"

#include <algorithm>

namespace kumquatbank {

/// A point on the monotonic clock by which a request must have its final answer. Immutable.
class Deadline {
public:
    /// Deadline that lies @p remaining after now; it has passed already when @p remaining is zero or less.
    static Deadline after(Milliseconds remaining) { return Deadline(Clock::now() + remaining); }

    explicit Deadline(TimePoint at)
        : m_at(at)
    {
    }

    TimePoint at() const { return m_at; }
    bool hasPassed() const { return Clock::now() >= m_at; }

    /// Time left, never negative.
    Milliseconds remaining() const
    {
        return std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(m_at - Clock::now()));
    }

    /// The earlier of this deadline and now + @p limit.
    Deadline cappedTo(Milliseconds limit) const { return Deadline(std::min(m_at, Clock::now() + limit)); }

private:
    TimePoint m_at;
};

} // namespace kumquatbank
