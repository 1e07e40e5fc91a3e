#pragma once

#include "kumquatbank/core/core.h"

#include <string>

namespace kumquatbank {

/// Reads "2026-12-04T03:00:00Z" (the seconds and the Z may be missing; UTC), "now", or a time before @p now
/// such as "-1h", "-30m", "-10s" or "-2d". Throws CommandFailure for anything else.
WallTime parseTimeArgument(const std::string& text, WallTime now);

/// UTC time as "2026-12-04T03:00Z".
std::string formatMinute(std::chrono::sys_seconds time);

} // namespace kumquatbank
