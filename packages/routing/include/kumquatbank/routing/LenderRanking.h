#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace kumquatbank {

/// A host that may lend database connections to others.
struct LenderCandidate {
    std::string name;
    std::string region;
};

/// Orders hosts by their rank as lender of the connections to @p service for the hosts of @p region, the best first:
/// hosts of the region before others, and within each part by a hash of both names. All hosts that know the same
/// candidates agree without word of each other, services spread over the hosts, and the loss of one host changes the
/// rank of no other.
std::vector<LenderCandidate> rankLenders(std::string_view service, std::string_view region, std::vector<LenderCandidate> candidates);

} // namespace kumquatbank
