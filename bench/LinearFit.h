#pragma once

#include <string>
#include <vector>

namespace kumquatbank {

/// Least-squares line through measured points.
class LinearFit {
public:
    LinearFit(std::string size, std::string cost);

    void add(double size, double cost);

    /// Prints the points, the line and the greatest deviation of a point from it in percent.
    void print() const;

private:
    std::string m_sizeName;
    std::string m_costName;
    std::vector<double> m_sizes;
    std::vector<double> m_costs;
};

} // namespace kumquatbank
