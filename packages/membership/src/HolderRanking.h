#pragma once

#include "kumquatbank/membership/Placement.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace kumquatbank {

/// Rendezvous hashing over one state of the member table. Hosts are hashed once and grouped by place, so ranking a
/// database costs one short hash per host of its home place; at 3,000 hosts in 22 places a change of the table
/// can be followed by ranking all 18,000 databases. Immutable.
class HolderRanking {
public:
    explicit HolderRanking(const std::vector<Member>& members);

    /// The best @p count holder candidates of the database, best first.
    std::vector<HostIdentity> candidates(const DatabaseDefinition& database, std::size_t count) const;

    /// True when a live host stands in @p place; databases at home there are held there.
    bool hasHosts(const std::string& place) const { return m_hostsByPlace.contains(place); }

private:
    struct Host {
        HostIdentity identity;
        std::uint64_t hash = 0; ///< Of the address only, so a restart moves nothing.
    };
    using Hosts = std::vector<Host>;

    static void appendBest(
        const Hosts& hosts, std::uint64_t databaseHash, std::size_t count, std::vector<HostIdentity>& candidates);

    std::map<std::string, Hosts, std::less<>> m_hostsByPlace;
};

} // namespace kumquatbank
