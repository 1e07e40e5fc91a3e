#include "kumquatbank/routing/TokenStock.h"

#include <algorithm>
#include <numeric>

namespace kumquatbank {

void TokenStock::removeExpired(BootTime now)
{
    std::erase_if(m_lots, [now](const Lot& lot) { return lot.expiresAt <= now; });
}

void TokenStock::add(double count, BootTime requestedAt, std::chrono::milliseconds validity)
{
    if (count > 0)
        m_lots.push_back({ count, requestedAt, requestedAt + validity });
}

double TokenStock::count(BootTime now)
{
    removeExpired(now);
    return std::accumulate(m_lots.begin(), m_lots.end(), 0.0, [](double sum, const Lot& lot) { return sum + lot.count; });
}

double TokenStock::take(double wanted, BootTime now)
{
    removeExpired(now);
    double taken = 0;
    while (taken < wanted && !m_lots.empty()) {
        auto& lot = m_lots.front();
        const double part = std::min(lot.count, wanted - taken);
        taken += part;
        lot.count -= part;
        if (lot.count <= 0)
            m_lots.erase(m_lots.begin());
    }
    return taken;
}

std::optional<BootTime> TokenStock::takeOne(BootTime now)
{
    removeExpired(now);
    if (m_lots.empty() || m_lots.front().count < 1)
        return std::nullopt;
    auto& lot = m_lots.front();
    const auto requestedAt = lot.requestedAt;
    lot.count -= 1;
    if (lot.count < 1)
        m_lots.erase(m_lots.begin());
    return requestedAt;
}

} // namespace kumquatbank
