#include "kumquatbank/routing/LenderRanking.h"

#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace kumquatbank {

std::vector<LenderCandidate> rankLenders(std::string_view service, std::string_view region, std::vector<LenderCandidate> candidates)
{
    const auto seed = XXH3_64bits(service.data(), service.size());
    std::ranges::sort(candidates, {}, [&](const LenderCandidate& host) {
        const auto hash = XXH3_64bits_withSeed(host.name.data(), host.name.size(), seed);
        return std::tuple(host.region != region, hash, host.name);
    });
    return candidates;
}

} // namespace kumquatbank
