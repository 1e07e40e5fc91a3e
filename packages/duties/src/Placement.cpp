#include "kumquatbank/duties/Placement.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>
#include <xxhash.h>

namespace kumquatbank {

namespace {

    constexpr std::string_view storeFollowerDuty = "store followers";
    /// Holders of each region that are queried about a service: the first, and one more in case it does not answer.
    constexpr std::ptrdiff_t holdersPerRegion = 2;
    /// Bits of the hash that are used; a double represents this many exactly.
    constexpr int hashBits = 53;
    /// Lower bound of the weight in score(): a weight of zero would make the score infinite.
    constexpr double minWeight = 1e-3;

    /// Score of a host; the smallest score ranks first. Scores are exponentially distributed with the host's weight as
    /// the rate, so that the probability of having the smallest score is proportional to the weight.
    double score(XXH64_hash_t seed, const PlacementHost& host)
    {
        const auto hash = XXH3_64bits_withSeed(host.name.data(), host.name.size(), seed) >> (64 - hashBits);
        const double uniformSample = (static_cast<double>(hash) + 0.5) / std::ldexp(1.0, hashBits);
        return -std::log(uniformSample) / std::max(host.weight, minWeight);
    }

    /// Returns the hosts sorted by score. Hosts for which @p isRemote is true come after all others.
    template <typename Predicate>
    std::vector<PlacementHost> rank(const std::vector<const PlacementHost*>& hosts, std::string_view duty, Predicate isRemote)
    {
        const auto seed = XXH3_64bits(duty.data(), duty.size());
        std::vector<std::tuple<bool, double, std::string_view, const PlacementHost*>> scored;
        scored.reserve(hosts.size());
        for (const auto* host : hosts)
            scored.emplace_back(isRemote(*host), score(seed, *host), host->name, host);
        std::ranges::sort(scored);
        std::vector<PlacementHost> ranking;
        ranking.reserve(scored.size());
        std::ranges::transform(scored, std::back_inserter(ranking), [](const auto& item) { return *std::get<const PlacementHost*>(item); });
        return ranking;
    }

    template <typename Predicate>
    std::vector<const PlacementHost*> select(const std::vector<PlacementHost>& hosts, Predicate predicate)
    {
        std::vector<const PlacementHost*> selected;
        for (const auto& host : hosts) {
            if (std::invoke(predicate, host))
                selected.push_back(&host);
        }
        return selected;
    }

} // namespace

Placement::Placement(std::vector<PlacementHost> hosts)
    : m_hosts(std::move(hosts))
{
    for (const auto& host : m_hosts) {
        if (host.lends)
            m_lendingRegions.insert(host.region);
    }
}

std::vector<PlacementHost> Placement::holders(std::string_view service, std::string_view region) const
{
    return rank(select(m_hosts, &PlacementHost::lends), service, [region](const PlacementHost& host) { return host.region != region; });
}

std::vector<PlacementHost> Placement::topHoldersPerRegion(std::string_view service) const
{
    std::vector<PlacementHost> found;
    for (const auto& region : m_lendingRegions) {
        const auto ranking = holders(service, region);
        std::ranges::copy_if(ranking.begin(), ranking.begin() + std::min(holdersPerRegion, std::ssize(ranking)), std::back_inserter(found), [&](const PlacementHost& host) { return host.region == region; });
    }
    return found;
}

std::vector<PlacementHost> Placement::followers(std::string_view region, std::size_t count) const
{
    auto ranking = rank(select(m_hosts, [&](const PlacementHost& host) { return host.region == region; }), storeFollowerDuty, [](const PlacementHost&) { return false; });
    ranking.resize(std::min(ranking.size(), count));
    return ranking;
}

} // namespace kumquatbank
