#pragma once

#include "kumquatbank/core/Failure.h"

#include <log4cxx/logger.h>
#include <map>
#include <string>

namespace kumquatbank {

/// Logger of one part of the program; every line carries the part's name as its prefix.
/// Thread-safe. Use the LOG4CXX_* macros with it.
log4cxx::LoggerPtr partLogger(const std::string& part);

/// Sends log lines to standard error and sets the levels: "default" for all parts, other keys for single
/// parts. NotRun/BadRequest for a level that is not trace, debug, info, warn, error or off.
Result<void> configureLogging(const std::map<std::string, std::string>& levels);

} // namespace kumquatbank
