#pragma once

#include "kumquatbank/duties/PlacementHost.h"

#include <set>
#include <string_view>
#include <vector>

namespace kumquatbank {

/// Assigns duties to the hosts of a deployment by weighted rendezvous hashing (Schindelhauer and Schomaker, "Weighted
/// distributed hash tables", SPAA 2005). All hosts that know the same hosts agree without word of each other; a host
/// that joins or dies moves only the duties that it gains or had. A host gets duties in proportion to its weight.
class Placement {
public:
    Placement() = default;
    explicit Placement(std::vector<PlacementHost> hosts);

    /// Hosts that hold the connections to @p service for the hosts of @p region, the first holder at the front: hosts of
    /// the region before others. Only hosts that lend.
    std::vector<PlacementHost> holders(std::string_view service, std::string_view region) const;

    /// The first holder of @p service in each region, and the next one in rank of each.
    std::vector<PlacementHost> topHoldersPerRegion(std::string_view service) const;

    /// The hosts of @p region that follow the store for the others: at most @p count, the first in rank at the front.
    /// Fewer weak hosts than strong ones, as for every duty.
    std::vector<PlacementHost> followers(std::string_view region, std::size_t count) const;

    const std::vector<PlacementHost>& hosts() const { return m_hosts; }

    /// Regions with a host that lends.
    const std::set<std::string>& lendingRegions() const { return m_lendingRegions; }

private:
    std::vector<PlacementHost> m_hosts;
    std::set<std::string> m_lendingRegions;
};

} // namespace kumquatbank
