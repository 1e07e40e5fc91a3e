#include "kumquatbank/routing/RetryBudget.h"

#include <algorithm>

namespace kumquatbank {

void RetryBudget::recordStatement() { m_retries = std::min(maxRetries, m_retries + retriesPerStatement); }

bool RetryBudget::takeRetry()
{
    if (m_retries < 1.0)
        return false;
    m_retries -= 1.0;
    return true;
}

} // namespace kumquatbank
