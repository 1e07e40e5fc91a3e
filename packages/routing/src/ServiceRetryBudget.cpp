#include "kumquatbank/routing/ServiceRetryBudget.h"

#include <algorithm>

namespace kumquatbank {

void ServiceRetryBudget::recordStatement() { m_retries = std::min(maxRetries, m_retries + retriesPerStatement); }

bool ServiceRetryBudget::takeRetry()
{
    if (m_retries < 1.0)
        return false;
    m_retries -= 1.0;
    return true;
}

} // namespace kumquatbank
