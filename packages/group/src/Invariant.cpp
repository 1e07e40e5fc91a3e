#include "Invariant.h"

#include "kumquatbank/core/Logging.h"

#include <cstdlib>
#include <string>

namespace kumquatbank {

void invariant(bool holds, std::string_view rule)
{
    if (holds)
        return;
    LOG4CXX_FATAL(partLogger("group"), "invariant violated: " + std::string(rule));
    std::abort();
}

} // namespace kumquatbank
