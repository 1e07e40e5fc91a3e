#pragma once

#include <cstdint>

namespace kumquatbank {

/// Fencing tokens of promotions, taken by conditional writes to a store that may come back from an older copy.
///
/// Such a return loses the newest tokens, so each era of the store has a range of its own, above those of all eras before.
/// Within an era, the conditional write keeps tokens unique.
class FencingToken {
public:
    /// Tokens of one era. A token of the millionth era still fits into the 53 bits that a JSON number holds exactly.
    static constexpr std::uint64_t perEra = std::uint64_t(1) << 32;
    /// Greatest number that JSON holds exactly. A stored token above it is not one of this program.
    static constexpr std::uint64_t maxToken = std::uint64_t(1) << 53;
    /// Greatest distance between a token and the next.
    static constexpr std::uint64_t maxStep = std::uint64_t(1) << 16;

    /// Returns a token greater than @p newest and than all tokens of earlier eras.
    /// @param newest  the newest token known; 0 for none.
    /// @param era  the era in which the store was read; 0 if the store does not report eras.
    /// @param step  1 to maxStep, drawn at random: a write of an earlier era that is carried out late may replace the
    ///              stored token, and two hosts that count from it would otherwise get the same one.
    static std::uint64_t next(std::uint64_t newest, std::uint64_t era, std::uint64_t step);

    /// As next(), where the stored token cannot be read: in the upper half of the era's range, which next() does not reach
    /// in practice.
    static std::uint64_t afterUnknown(std::uint64_t newest, std::uint64_t era, std::uint64_t step);
};

} // namespace kumquatbank
