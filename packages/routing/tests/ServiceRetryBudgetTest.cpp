#include "kumquatbank/routing/ServiceRetryBudget.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;

namespace {

/// Number of retries of @p statements that each fail up to four times.
int retriesOf(ServiceRetryBudget& budget, int statements)
{
    int retries = 0;
    for (int n = 0; n < statements; ++n) {
        budget.recordStatement();
        for (int attempt = 1; attempt < 5 && budget.takeRetry(); ++attempt)
            ++retries;
    }
    return retries;
}

} // namespace

TEST_GROUP(ServiceRetryBudget)
{
    ServiceRetryBudget budget;
};

// Load pattern: every attempt fails, because the endpoints are overloaded. Five attempts a statement would be five times the
// load.
TEST(ServiceRetryBudget, RetriesAddATenthOfTheLoadWhenEverythingFails)
{
    const int first = retriesOf(budget, 100);
    CHECK_TRUE(first >= 9 && first <= 13);
    const int later = retriesOf(budget, 10'000);
    CHECK_TRUE(later >= 990 && later <= 1'000);
}

// Load pattern: one statement in twenty fails once.
TEST(ServiceRetryBudget, RareFailuresAreAllRetried)
{
    for (int n = 0; n < 1'000; ++n) {
        budget.recordStatement();
        CHECK_TRUE(n % 20 != 0 || budget.takeRetry());
    }
}

// Load pattern: a long time without failures, then all fail.
TEST(ServiceRetryBudget, AQuietTimeDoesNotPayForAStorm)
{
    for (int n = 0; n < 100'000; ++n)
        budget.recordStatement();
    CHECK_TRUE(retriesOf(budget, 100) <= 20);
}
