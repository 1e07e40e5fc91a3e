#include "HolderRanking.h"

#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace kumquatbank {

HolderRanking::HolderRanking(const std::vector<Member>& members)
{
    for (const Member& it : members) {
        if (it.state != MemberState::Alive && it.state != MemberState::Suspect)
            continue;
        const std::string address = it.identity.address.toString();
        m_hostsByPlace[it.identity.place].push_back({ it.identity, XXH3_64bits(address.data(), address.size()) });
    }
}

std::vector<HostIdentity> HolderRanking::candidates(const DatabaseDefinition& database, std::size_t count) const
{
    const std::uint64_t databaseHash = XXH3_64bits(database.name.data(), database.name.size());
    const std::string home = database.slots.empty() ? std::string() : database.slots.front().place;
    std::vector<HostIdentity> candidates;
    const auto homeHosts = m_hostsByPlace.find(home);
    if (homeHosts != m_hostsByPlace.end())
        appendBest(homeHosts->second, databaseHash, count, candidates);
    if (candidates.size() >= count)
        return candidates;
    Hosts elsewhere;
    for (const auto& [place, hosts] : m_hostsByPlace) {
        if (place != home)
            elsewhere.insert(elsewhere.end(), hosts.begin(), hosts.end());
    }
    appendBest(elsewhere, databaseHash, count - candidates.size(), candidates);
    return candidates;
}

void HolderRanking::appendBest(
    const Hosts& hosts, std::uint64_t databaseHash, std::size_t count, std::vector<HostIdentity>& candidates)
{
    struct Candidate {
        std::uint64_t weight;
        const Host* host;
    };
    std::vector<Candidate> ranked;
    ranked.reserve(hosts.size());
    std::ranges::transform(hosts, std::back_inserter(ranked), [&](const Host& it) {
        return Candidate { XXH3_64bits_withSeed(&it.hash, sizeof(it.hash), databaseHash), &it };
    });
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(count, ranked.size()));
    std::ranges::partial_sort(ranked, end, [](const Candidate& a, const Candidate& b) {
        return std::tie(b.weight, a.host->identity.address) < std::tie(a.weight, b.host->identity.address);
    });
    std::transform(ranked.begin(), end, std::back_inserter(candidates),
        [](const Candidate& it) { return it.host->identity; });
}

} // namespace kumquatbank
