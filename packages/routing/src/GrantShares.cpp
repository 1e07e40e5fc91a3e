#include "kumquatbank/routing/GrantShares.h"

#include <numeric>

namespace kumquatbank {

namespace {

    /// Divisor of a new grant in the fractions: its weight is 1/64.
    constexpr double smoothing = 64.0;

} // namespace

void GrantShares::record(const RequestRank& rank)
{
    m_shares.try_emplace(rank, 0.0);
    for (auto& [other, share] : m_shares)
        share += ((other == rank ? 1.0 : 0.0) - share) / smoothing;
}

double GrantShares::shareBefore(const RequestRank& rank) const
{
    return std::accumulate(m_shares.begin(), m_shares.lower_bound(rank), 0.0, [](double sum, const auto& item) { return sum + item.second; });
}

} // namespace kumquatbank
