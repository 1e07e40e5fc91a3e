#include "DescriptorPlan.h"

#include <limits>
#include <sys/resource.h>

namespace kumquatbank {

int DescriptorPlan::processLimit(std::optional<int> setting)
{
    rlimit granted {};
    const bool isKnown = getrlimit(RLIMIT_NOFILE, &granted) == 0;
    const auto limit = isKnown ? static_cast<int>(std::min<rlim_t>(granted.rlim_cur, std::numeric_limits<int>::max())) : minLimit;
    return std::min(setting.value_or(limit), limit);
}

} // namespace kumquatbank
