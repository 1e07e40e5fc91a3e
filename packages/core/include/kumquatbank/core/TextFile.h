#pragma once

#include "kumquatbank/core/Failure.h"

#include <string>

namespace kumquatbank {

/// The whole content of a file. NotRun/BadRequest, naming the file, if it cannot be read.
Result<std::string> readTextFile(const std::string& file);

} // namespace kumquatbank
