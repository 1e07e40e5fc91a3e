#include "kumquatbank/routing/routing.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

using namespace kumquatbank;

TEST_GROUP(LimitTerms) {};

// Guards against a bucket whose tokens can exceed the bound when they are all used as late as they may.
TEST(LimitTerms, StayWithinTheBound)
{
    for (const auto& bound : { LimitBound(), LimitBound { std::chrono::seconds(1), 0, 0 }, LimitBound { std::chrono::seconds(60), 0.5, 0 } }) {
        const std::chrono::duration<double> span = bound.window + LimitTimes::sendAfterGrant + LimitTimes::exchangeValidity;
        for (const double rate : { 0.0, 0.2, 1.0, 40.0, 306.0, 10'000.0 }) {
            for (const double burst : { 0.0, 1.0, 300.0, 100'000.0 }) {
                const RateLimit limit { rate, burst };
                const auto terms = LimitTerms::of(limit, bound);
                CHECK_TRUE_TEXT(terms.perSecond * span.count() + terms.capacity <= bound.operationsPerWindow(limit), fmt::format("{}/s, burst {}", rate, burst).c_str());
                CHECK_TRUE(terms.perSecond >= 0 && terms.perSecond <= rate + std::min(rate, burst) / std::chrono::duration<double>(bound.window).count() && terms.capacity >= 0);
            }
        }
    }
}

// Guards against a margin that costs the accounts most of what they may use: the bound allows the burst in every window, so
// that steady demand above the rate by the overage has to be admitted.
TEST(LimitTerms, LeaveTheRateAndTheOverageToUsualAccounts)
{
    for (const RateLimit limit : { RateLimit { 306, 306 }, RateLimit { 1, 1 }, RateLimit { 0.2, 1 } }) {
        const auto terms = LimitTerms::of(limit, {});
        CHECK_TRUE(terms.perSecond >= 1.1 * limit.perSecond);
        CHECK_TRUE(terms.capacity >= 0.15 * limit.perSecond + 10);
    }
}
