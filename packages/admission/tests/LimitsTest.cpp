#include "kumquatbank/admission/admission.h"

#include <CppUTest/TestHarness.h>
#include <numeric>
#include <thread>
#include <vector>

using namespace kumquatbank;

namespace {

CatalogueEntry makeEntry()
{
    CatalogueEntry entry;
    entry.name = "proof";
    entry.owner = "portal";
    return entry;
}

} // namespace

TEST_GROUP(EntryLimiter) {};

// Guards against shares that add up to more or less than the fleet-wide limit.
TEST(EntryLimiter, SharesAddUpToTheLimitForAnyNumberOfDatabases)
{
    for (const unsigned limit : { 0U, 1U, 2U, 7U, 9U, 20U }) {
        for (const std::size_t count : { 1UL, 2UL, 3UL, 9UL }) {
            auto entry = makeEntry();
            entry.maxConcurrent = limit;
            std::vector<std::unique_ptr<EntryLimiter>> databases;
            std::vector<EntryLimiter::Permit> permits;
            for (std::size_t index = 0; index < count; ++index) {
                databases.push_back(std::make_unique<EntryLimiter>());
                while (auto permit = databases.back()->acquire(entry, index, count))
                    permits.push_back(std::move(*permit));
            }
            CHECK_EQUAL(limit, permits.size());
        }
    }
}

// Guards against a limit that increases when a database moves: the new holder has the same share, and the old
// holder gets no further permits.
TEST(EntryLimiter, LimitHoldsWhenDatabasesMove)
{
    auto entry = makeEntry();
    entry.maxConcurrent = 5;
    EntryLimiter oldHolder;
    EntryLimiter newHolder;
    std::vector<EntryLimiter::Permit> permits;
    while (auto permit = oldHolder.acquire(entry, 1, 3))
        permits.push_back(std::move(*permit));
    CHECK_EQUAL(2, permits.size());
    permits.clear(); // the new claim closes the old holder's connections
    while (auto permit = newHolder.acquire(entry, 1, 3))
        permits.push_back(std::move(*permit));
    CHECK_EQUAL(2, permits.size());
}

// Guards against a permit that is leaked or released twice, and against refusals without entry and owner.
TEST(EntryLimiter, PermitsReturnOnceAndRefusalsNameTheEntry)
{
    auto entry = makeEntry();
    entry.maxConcurrent = 2;
    EntryLimiter limiter;
    auto first = limiter.acquire(entry, 0, 1);
    auto second = limiter.acquire(entry, 0, 1);
    const auto refused = limiter.acquire(entry, 0, 1);
    CHECK_TRUE(refused.error().cause == Cause::EntryLimit);
    CHECK_TRUE(refused.error().verdict == Verdict::NotRun);
    STRCMP_EQUAL("proof", refused.error().entry.c_str());
    STRCMP_EQUAL("portal", refused.error().owner.c_str());
    CHECK_TRUE(refused.error().retryAfter.has_value());
    *first = std::move(*second);
    auto third = limiter.acquire(entry, 0, 1);
    CHECK_TRUE(third.has_value());
    CHECK_FALSE(limiter.acquire(entry, 0, 1).has_value());
}

// Guards against a rate above the limit after idle time or a move, and against tokens that are never refilled.
TEST(EntryLimiter, RateStaysAtTheShareOfTheLimit)
{
    auto entry = makeEntry();
    entry.maxPerSecond = 300;
    EntryLimiter limiter;
    const auto start = Clock::now();
    int granted = 0;
    while (Clock::now() - start < Milliseconds(500)) {
        granted += limiter.acquire(entry, 2, 3).has_value() ? 1 : 0;
        std::this_thread::sleep_for(Milliseconds(1));
    }
    const double expected = 100 * std::chrono::duration<double>(Clock::now() - start).count();
    CHECK_TRUE(granted <= expected + 2);
    CHECK_TRUE(granted >= 0.7 * expected);
}

TEST_GROUP(RetryBudget) {};

// Guards against retries multiplying the load on a failing endpoint.
TEST(RetryBudget, AllowsATenthOfTheFirstTries)
{
    RetryBudget budget(0.1, Milliseconds(60'000));
    CHECK_FALSE(budget.tryRetry());
    int retries = 0;
    for (int n = 0; n < 1000; ++n) {
        budget.recordFirstTry();
        retries += budget.tryRetry() ? 1 : 0;
    }
    CHECK_EQUAL(100, retries);
}

// Guards against a budget accumulated over a long time and spent at once on a failing endpoint.
TEST(RetryBudget, IgnoresTriesOutsideTheWindow)
{
    RetryBudget budget(0.5, Milliseconds(100));
    for (int n = 0; n < 100; ++n)
        budget.recordFirstTry();
    CHECK_TRUE(budget.tryRetry());
    std::this_thread::sleep_for(Milliseconds(150));
    CHECK_FALSE(budget.tryRetry());
}
