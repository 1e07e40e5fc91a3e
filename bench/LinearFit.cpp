#include "LinearFit.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <numeric>

namespace kumquatbank {

LinearFit::LinearFit(std::string size, std::string cost)
    : m_sizeName(std::move(size))
    , m_costName(std::move(cost))
{
}

void LinearFit::add(double size, double cost)
{
    m_sizes.push_back(size);
    m_costs.push_back(cost);
}

void LinearFit::print() const
{
    const auto n = static_cast<double>(m_sizes.size());
    const double meanSize = std::accumulate(m_sizes.begin(), m_sizes.end(), 0.0) / n;
    const double meanCost = std::accumulate(m_costs.begin(), m_costs.end(), 0.0) / n;
    double covariance = 0;
    double variance = 0;
    for (std::size_t i = 0; i < m_sizes.size(); ++i) {
        covariance += (m_sizes[i] - meanSize) * (m_costs[i] - meanCost);
        variance += (m_sizes[i] - meanSize) * (m_sizes[i] - meanSize);
    }
    const double slope = covariance / variance;
    const double base = meanCost - slope * meanSize;
    std::printf("%s by %s\n", m_costName.c_str(), m_sizeName.c_str());
    double error = 0;
    for (std::size_t i = 0; i < m_sizes.size(); ++i) {
        const double fitted = base + slope * m_sizes[i];
        error = std::max(error, std::abs(m_costs[i] - fitted) / std::abs(m_costs[i]) * 100);
        std::printf("  %10.0f  %14.1f  fit %14.1f\n", m_sizes[i], m_costs[i], fitted);
    }
    std::printf("  line: %.1f + %.4f each, greatest deviation %.1f%%\n\n", base, slope, error);
}

} // namespace kumquatbank
