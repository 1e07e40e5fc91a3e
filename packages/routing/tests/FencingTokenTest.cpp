#include "kumquatbank/routing/FencingToken.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;

TEST_GROUP(FencingToken) {};

// Guards against a token that is given out again after the store has lost the writes that took it.
TEST(FencingToken, TokensOfALaterEraAreGreaterThanAllBefore)
{
    const auto lost = FencingToken::next(FencingToken::next(0, 1, FencingToken::maxStep), 1, FencingToken::maxStep);
    CHECK_TRUE(FencingToken::next(0, 2, 1) > lost);
    CHECK_TRUE(FencingToken::next(FencingToken::next(0, 1, 1), 2, 1) > lost);
}

// Guards against a token below the stored one: of the same era, of a later one, or of a store that reports no eras.
TEST(FencingToken, TokensAlwaysIncrease)
{
    for (const std::uint64_t era : { 0, 1, 2 }) {
        for (const std::uint64_t newest : { std::uint64_t(0), std::uint64_t(7), 2 * FencingToken::perEra, 3 * FencingToken::perEra + 5 })
            CHECK_TRUE(FencingToken::next(newest, era, 1) > newest);
    }
    UNSIGNED_LONGS_EQUAL(8, FencingToken::next(7, 0, 1));
}

// Guards against tokens that lose their lowest bits in a JSON number of 53 bits.
TEST(FencingToken, TokensFitIntoAJsonNumber)
{
    const auto millionthEra = FencingToken::next(0, 1'000'000, FencingToken::maxStep);
    CHECK_TRUE(millionthEra < (std::uint64_t(1) << 53));
}
