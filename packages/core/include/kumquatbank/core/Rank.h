#pragma once

#include <array>
#include <cstddef>

namespace kumquatbank {

/// Priority of an entry's work; a smaller number is more urgent.
enum class Rank {
    Urgent = 1, ///< Saves and confirmations.
    Normal = 2, ///< Clerk pulls, proofs and job tickets.
    Background = 3, ///< Public lookups and proof views.
};

constexpr std::size_t rankCount = 3;
constexpr std::array<Rank, rankCount> allRanks { Rank::Urgent, Rank::Normal, Rank::Background };

/// Position of @p rank in an array of rankCount elements, most urgent first.
constexpr std::size_t rankIndex(Rank rank) { return static_cast<std::size_t>(rank) - 1; }

} // namespace kumquatbank
