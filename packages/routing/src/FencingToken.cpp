#include "kumquatbank/routing/FencingToken.h"

#include <algorithm>

namespace kumquatbank {

std::uint64_t FencingToken::next(std::uint64_t newest, std::uint64_t era, std::uint64_t step)
{
    return std::max(newest, era * perEra) + step;
}

std::uint64_t FencingToken::afterUnknown(std::uint64_t newest, std::uint64_t era, std::uint64_t step)
{
    return std::max(newest, era * perEra + perEra / 2) + step;
}

} // namespace kumquatbank
