#pragma once

#include "kumquatbank/duties/PlacementHost.h"

#include <set>
#include <string_view>
#include <vector>

namespace kumquatbank {

/// Assigns duties to the hosts of a deployment by weighted rendezvous hashing (Schindelhauer and Schomaker, "Weighted
/// distributed hash tables", SPAA 2005). Hosts with the same host list compute the same assignment without exchanging
/// messages. A host that joins or fails moves only the duties that it gains or held. A host gets duties in proportion
/// to its weight.
class Placement {
public:
    Placement() = default;
    explicit Placement(std::vector<PlacementHost> hosts);

    /// Hosts that hold the connections to @p service for the hosts of @p region, ordered by rank; hosts of the region
    /// come before all others. Contains only hosts that lend connections.
    std::vector<PlacementHost> holders(std::string_view service, std::string_view region) const;

    /// The first and second holder of @p service in each region; only hosts of that region.
    std::vector<PlacementHost> topHoldersPerRegion(std::string_view service) const;

    /// The hosts of @p region that watch the store on behalf of the others: at most @p count, ordered by rank. Like
    /// every duty, this one is assigned in proportion to the weights, so strong hosts are chosen more often than weak
    /// ones.
    std::vector<PlacementHost> followers(std::string_view region, std::size_t count) const;

    const std::vector<PlacementHost>& hosts() const { return m_hosts; }

    /// Regions with at least one host that lends connections.
    const std::set<std::string>& lendingRegions() const { return m_lendingRegions; }

private:
    std::vector<PlacementHost> m_hosts;
    std::set<std::string> m_lendingRegions;
};

} // namespace kumquatbank
