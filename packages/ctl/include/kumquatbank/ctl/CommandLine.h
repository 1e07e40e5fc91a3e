#pragma once

#include "kumquatbank/ctl/ExitCode.h"

#include <iosfwd>

namespace kumquatbank {

/// Runs one kumquatctl command. Results go to @p out, messages to @p err.
ExitCode runCommandLine(int argc, const char* const* argv, std::ostream& out, std::ostream& err);

} // namespace kumquatbank
