#pragma once

#include "MemberTable.h"

#include <optional>
#include <random>
#include <vector>

namespace kumquatbank {

/// Chooses the peer of each gossip round: alternately from this process's place and from everywhere, each in
/// a shuffled round robin, so that every peer is contacted within two rounds per row. Not thread-safe.
class PeerSelector {
public:
    explicit PeerSelector(const MemberTable& table);

    /// Empty when no other live process is known.
    std::optional<HostAddress> next();

    /// A random live peer other than @p excluded ones, at most @p count.
    std::vector<HostAddress> randomPeers(std::size_t count, const HostAddress& excluded);

private:
    std::optional<HostAddress> nextOf(std::vector<HostAddress>& round, const std::string& place);

    const MemberTable& m_table;
    std::vector<HostAddress> m_ownPlace; ///< Rest of the current round.
    std::vector<HostAddress> m_anywhere;
    bool m_isOwnPlaceNext = false;
    std::mt19937_64 m_random;
};

} // namespace kumquatbank
