#pragma once

#include <chrono>

namespace kumquatbank {

/// Monotonic clock for every interval, timeout and lease.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

/// Wall clock, used only to label cause records and log lines.
using WallClock = std::chrono::system_clock;
using WallTime = WallClock::time_point;

} // namespace kumquatbank
