#include "kumquatbank/pooler/pooler.h"

#include "PoolerMetrics.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;

TEST_GROUP(PoolerMetrics) {};

// Guards against series that grow with every account that the configuration ever had.
TEST(PoolerMetrics, TheNumberOfAccountSeriesIsBounded)
{
    PoolerMetrics metrics;
    const auto count = [&metrics] {
        const auto text = metrics.serialize();
        const std::string_view name = "kumquatbank_account_statements_total{";
        std::size_t found = 0;
        for (auto at = text.find(name); at != std::string::npos; at = text.find(name, at + name.size()))
            ++found;
        return found;
    };
    metrics.accountAnswered("", true);
    LONGS_EQUAL(0, count());
    for (int n = 0; n < 512; ++n)
        metrics.accountAnswered("account-" + std::to_string(n), true);
    LONGS_EQUAL(512, count());
    for (int n = 512; n < 2000; ++n)
        metrics.accountAnswered("account-" + std::to_string(n), true);
    LONGS_EQUAL(513, count());
    CHECK_TRUE(metrics.serialize().find("account=\"(others)\",outcome=\"ok\"} 1488") != std::string::npos);
}
