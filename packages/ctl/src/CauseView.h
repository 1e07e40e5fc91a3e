#pragma once

#include "ProxyReader.h"
#include "kumquatbank/causes/causes.h"
#include "kumquatbank/platform/PlatformObject.h"

#include <ostream>

namespace kumquatbank {

/// Adds the "causes" objects that may hold rows of the span. @return objects that could not be read.
std::size_t addObjects(CauseReport& report, const std::vector<PlatformObject>& objects, WallTime from, WallTime to);

/// Adds the answers of live processes to GET /causes. @return proxies without a usable answer.
std::size_t addProxies(CauseReport& report, const std::vector<ProxyAnswer>& answers, WallTime from, WallTime to);

/// Prints one line per cause, the greatest lost time first, and a total.
void printCauses(const CauseReport& report, std::ostream& out);

} // namespace kumquatbank
