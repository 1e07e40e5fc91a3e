#include "kumquatbank/membership/Placement.h"

#include "HolderRanking.h"

#include <algorithm>
#include <string_view>
#include <tuple>
#include <xxhash.h>

namespace kumquatbank {

namespace {

    struct Candidate {
        std::uint64_t weight = 0;
        const HostIdentity* identity = nullptr;
    };

    bool takesDuties(const Member& member)
    {
        return member.state == MemberState::Alive || member.state == MemberState::Suspect;
    }

    /// The incarnation is left out, so a refuted suspicion or a restart moves nothing.
    std::uint64_t weightOf(std::string_view key, const HostIdentity& host)
    {
        const std::string address = host.address.toString();
        return XXH3_64bits_withSeed(address.data(), address.size(), XXH3_64bits(key.data(), key.size()));
    }

    std::vector<HostIdentity> ranked(std::vector<Candidate> candidates, std::size_t count)
    {
        const auto end = candidates.begin() + static_cast<std::ptrdiff_t>(std::min(count, candidates.size()));
        std::ranges::partial_sort(candidates, end, [](const Candidate& a, const Candidate& b) {
            return std::tie(b.weight, a.identity->address) < std::tie(a.weight, b.identity->address);
        });
        std::vector<HostIdentity> hosts;
        std::transform(
            candidates.begin(), end, std::back_inserter(hosts), [](const Candidate& it) { return *it.identity; });
        return hosts;
    }

} // namespace

std::vector<HostIdentity> holderCandidates(const DatabaseDefinition& database, const std::vector<Member>& members)
{
    return HolderRanking(members).candidates(database, members.size());
}

std::vector<HostIdentity> relaysOf(const std::string& place, const std::vector<Member>& members, std::size_t count)
{
    std::vector<Candidate> candidates;
    for (const Member& member : members) {
        if (takesDuties(member) && member.identity.place == place)
            candidates.push_back({ weightOf("relay " + place, member.identity), &member.identity });
    }
    return ranked(std::move(candidates), count);
}

} // namespace kumquatbank
