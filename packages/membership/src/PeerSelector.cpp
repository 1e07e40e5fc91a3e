#include "PeerSelector.h"

#include <algorithm>

namespace kumquatbank {

PeerSelector::PeerSelector(const MemberTable& table)
    : m_table(table)
    , m_random(std::hash<std::string>()(table.self().address.toString()))
{
}

std::optional<HostAddress> PeerSelector::next()
{
    m_isOwnPlaceNext = !m_isOwnPlaceNext;
    if (m_isOwnPlaceNext) {
        if (auto peer = nextOf(m_ownPlace, m_table.self().place))
            return peer;
    }
    return nextOf(m_anywhere, {});
}

std::optional<HostAddress> PeerSelector::nextOf(std::vector<HostAddress>& round, const std::string& place)
{
    for (int attempt = 0; attempt < 2; ++attempt) {
        while (!round.empty()) {
            const HostAddress peer = round.back();
            round.pop_back();
            const auto row = m_table.find(peer);
            if (row && row->state != MemberState::Dead)
                return peer;
        }
        round = m_table.livePeers(place);
        std::ranges::shuffle(round, m_random);
    }
    return std::nullopt;
}

std::vector<HostAddress> PeerSelector::randomPeers(std::size_t count, const HostAddress& excluded)
{
    std::vector<HostAddress> peers = m_table.livePeers({});
    std::erase(peers, excluded);
    std::vector<HostAddress> chosen;
    std::ranges::sample(peers, std::back_inserter(chosen), static_cast<std::ptrdiff_t>(count), m_random);
    return chosen;
}

} // namespace kumquatbank
