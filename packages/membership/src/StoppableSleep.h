#pragma once

#include "kumquatbank/core/core.h"

#include <condition_variable>
#include <mutex>
#include <stop_token>

namespace kumquatbank {

/// Sleeps until @p until, or less when the thread is asked to stop.
inline void sleepUntil(const std::stop_token& stop, TimePoint until)
{
    std::mutex mutex;
    std::condition_variable_any wake;
    std::unique_lock lock(mutex);
    wake.wait_until(lock, stop, until, [] { return false; });
}

} // namespace kumquatbank
