#pragma once

#include <map>

namespace kumquatbank {

/// Precedence of a request before those of other accounts.
struct RequestRank {
    bool isOverShare = false; ///< Its account has used more than its share, and comes after those that have not.
    int priority = 0; ///< 0 is the most urgent.

    auto operator<=>(const RequestRank&) const = default;
};

/// Smoothed fractions of the grants by rank; shows how much of the capacity is left to later ranks.
class GrantShares {
public:
    void record(const RequestRank& rank);
    /// Sum of the fractions of all ranks before @p rank.
    double shareBefore(const RequestRank& rank) const;

private:
    std::map<RequestRank, double> m_shares;
};

} // namespace kumquatbank
