#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <ctime>

namespace kumquatbank {

/// Monotonic clock that also counts the time for which the host was suspended. Ages of beliefs are measured with it,
/// because a suspended host must not take an old belief for a fresh one.
class BootClock {
public:
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): name of the standard's Clock

    static time_point now() noexcept
    {
        timespec now {};
        clock_gettime(CLOCK_BOOTTIME, &now);
        return time_point(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
    }
};

using BootTime = BootClock::time_point;

/// Whole milliseconds of a duration, for logs and messages.
template <typename Rep, typename Period>
constexpr std::int64_t toMs(std::chrono::duration<Rep, Period> duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// Longest duration that is taken from a message. Adding it to a time does not overflow.
constexpr std::chrono::milliseconds maxMessageDuration = std::chrono::hours(24 * 365);

/// Duration of a message, limited to maxMessageDuration in both directions.
constexpr std::chrono::milliseconds durationOfMessage(std::int64_t ms)
{
    return std::chrono::milliseconds(std::clamp<std::int64_t>(ms, -maxMessageDuration.count(), maxMessageDuration.count()));
}

} // namespace kumquatbank
