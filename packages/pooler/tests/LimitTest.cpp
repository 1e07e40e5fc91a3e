#include "PoolerFixture.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;
using std::chrono::milliseconds;

namespace {

constexpr const char* accountKey = "key-of-the-account";

/// Gives one account a limit.
void putLimit(PoolerFixture& fixture, std::optional<RateLimit> limit)
{
    auto& config = fixture.platform().config();
    const auto before = config;
    config = RoutingConfig();
    config.version = before.version;
    config.routes = before.routes;
    config.services = before.services;
    config.transactionIdle = before.transactionIdle;
    config.hasAccounts = true;
    ClientAccount account;
    account.name = "account";
    account.limit = limit;
    account.keys = { KeyDigest::of(accountKey) };
    config.addAccount(account);
    fixture.platform().putConfig();
}

/// What the clients of a test got.
struct Outcomes {
    int succeeded = 0;
    int refused = 0;
    int other = 0;
    std::string lastRefusal;
};

/// Sends writes one after the other until @p until.
Task<void> send(PoolerFixture& fixture, int host, BootTime until, milliseconds pause, Outcomes& outcomes, int& running)
{
    TestClient client(fixture.io());
    const auto database = EmulatedPlatform::databaseName(0, ReadPolicy::Primary);
    const auto started = co_await client.start(fixture.clientAddress(host), database, accountKey);
    CHECK_FALSE_TEXT(started.ready.empty(), started.result.c_str());
    while (BootClock::now() < until) {
        const auto answer = co_await client.query("WRITE w");
        if (answer.isSuccess()) {
            ++outcomes.succeeded;
        } else if (answer.code() == "BUSY") {
            ++outcomes.refused;
            outcomes.lastRefusal = answer.result;
        } else {
            ++outcomes.other;
        }
        co_await fixture.sleep(pause);
    }
    --running;
}

Outcomes sendFrom(PoolerFixture& fixture, const std::vector<int>& hosts, std::chrono::milliseconds duration, milliseconds pause)
{
    Outcomes outcomes;
    int running = 0;
    const auto until = BootClock::now() + duration;
    for (const int host : hosts) {
        ++running;
        asio::co_spawn(fixture.io(), send(fixture, host, until, pause, outcomes, running), asio::detached);
    }
    while (running > 0)
        fixture.io().run_one_for(milliseconds(50));
    return outcomes;
}

} // namespace

TEST_GROUP(Limit) {};

// Guards against hosts that each count on their own, and against refusals below the limit.
TEST(Limit, HoldsOverAllHostsAndRefusesNothingBelow)
{
    PoolerFixture fixture({}, 3);
    putLimit(fixture, RateLimit { 40, 40 });
    fixture.run(fixture.sleep(milliseconds(3500)));
    const auto below = sendFrom(fixture, { 0, 1, 2 }, milliseconds(3000), milliseconds(100));
    LONGS_EQUAL(0, below.refused + below.other);
    const auto above = sendFrom(fixture, { 0, 0, 1, 1, 2, 2 }, milliseconds(5000), milliseconds(15));
    CHECK_TRUE(above.succeeded <= (40 * 5 + 40) * 1.1 + 20);
    CHECK_TRUE(above.succeeded >= 40 * 5 * 0.9);
    CHECK_TRUE(above.refused > 0);
    STRCMP_CONTAINS("limit", above.lastRefusal.c_str());
    LONGS_EQUAL(0, above.other);
}

// Guards against counting where nothing is limited.
TEST(Limit, AccountWithoutLimitIsNotHeldUp)
{
    PoolerFixture fixture({}, 2);
    putLimit(fixture, std::nullopt);
    fixture.run(fixture.sleep(milliseconds(700)));
    const auto outcomes = sendFrom(fixture, { 0, 1 }, milliseconds(1000), milliseconds(1));
    CHECK_TRUE(outcomes.succeeded > 50);
    LONGS_EQUAL(0, outcomes.refused + outcomes.other);
}
