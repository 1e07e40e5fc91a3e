#include "FaultLink.h"
#include "PoolerFixture.h"
#include "kumquatbank/duties/duties.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

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

/// Name of a host that ranks before the given number of hosts as the coordinator of limits.
std::string firstCoordinatorName(int hosts)
{
    for (int n = 0;; ++n) {
        const auto name = fmt::format("relay-{}", n);
        std::vector<PlacementHost> candidates { { name, "", "region" } };
        for (int host = 0; host < hosts; ++host)
            candidates.push_back({ fmt::format("host-{}", host), "", "region" });
        if (Placement(candidates).holders("account limits", "region").front().name == name)
            return name;
    }
}

constexpr int hostCount = 3;
const RateLimit usualLimit { 40, 40 };
/// Until hosts have listed each other and gathered tokens.
constexpr milliseconds warmUp { 3500 };

} // namespace

TEST_GROUP(Limit) {};

// Guards against hosts that each count on their own, against refusals below the limit, and against limits that depend on
// the store.
TEST(Limit, HoldsOverAllHostsWithoutTheStore)
{
    PoolerFixture fixture({}, hostCount);
    putLimit(fixture, usualLimit);
    fixture.run(fixture.sleep(warmUp));
    fixture.platform().store().behaviour().isDown = true;
    const auto below = sendFrom(fixture, { 0, 1, 2 }, milliseconds(3000), milliseconds(100));
    CHECK_TRUE(below.succeeded > 50);
    LONGS_EQUAL(0, below.refused + below.other);
    const auto above = sendFrom(fixture, { 0, 0, 1, 1, 2, 2 }, milliseconds(5000), milliseconds(15));
    CHECK_TRUE(above.succeeded <= LimitBound().operationsPerWindow(usualLimit));
    CHECK_TRUE(above.succeeded >= usualLimit.perSecond * 5 * 0.9);
    CHECK_TRUE(above.refused > 0);
    STRCMP_CONTAINS("limit is reached; retry after", above.lastRefusal.c_str());
    LONGS_EQUAL(0, above.other);
}

// Guards against refusals that go on after the coordinator stopped to answer, and against tokens beyond the limit meanwhile.
TEST(Limit, OutlastsTheCoordinator)
{
    PoolerFixture fixture({}, hostCount);
    // One more host, which reaches the lending interface of the first one over a link that can be cut.
    const auto name = firstCoordinatorName(hostCount);
    const HostAddress linkAddress { fixture.clientAddress().ip, 32'000 };
    FaultLink link(fixture.io(), linkAddress, { fixture.clientAddress().ip, static_cast<std::uint16_t>(fixture.clientAddress().port + 4) });
    fixture.platform().store().put("kumquatbank-hosts", name, { { "peerAddress", linkAddress.toString() }, { "dataCentre", "dc-0" }, { "region", "region" }, { "weight", 1 }, { "loanAddress", linkAddress.toString() } });
    putLimit(fixture, usualLimit);
    // Hosts list the others again 4 s after the first time.
    fixture.run(fixture.sleep(milliseconds(8000)));
    fixture.run([](PoolerFixture& f, std::string coordinator) -> Task<void> {
        const auto state = co_await f.state(1);
        STRCMP_EQUAL(coordinator.c_str(), state["limits"]["coordinator"].get<std::string>().c_str());
    }(fixture, name));
    link.setBlocked(FaultLink::Direction::ToTarget, true);
    const auto during = sendFrom(fixture, { 0, 1, 2 }, LimitTimes::lease + milliseconds(1000), milliseconds(150));
    LONGS_EQUAL(0, during.other);
    const auto after = sendFrom(fixture, { 0, 1, 2 }, milliseconds(3000), milliseconds(150));
    CHECK_TRUE(after.succeeded > 40);
    LONGS_EQUAL(0, after.refused + after.other);
    const auto above = sendFrom(fixture, { 0, 0, 1, 1, 2, 2 }, milliseconds(5000), milliseconds(15));
    CHECK_TRUE(above.succeeded <= LimitBound().operationsPerWindow(usualLimit));
}

// Guards against operations that are admitted, wait, and reach a database in a later window.
TEST(Limit, LateFirstStatementNeedsAnotherToken)
{
    PoolerFixture fixture({}, 1);
    putLimit(fixture, usualLimit);
    fixture.run(fixture.sleep(warmUp));
    TestClient client(fixture.io());
    const auto query = [](PoolerFixture& f, TestClient& c, std::string text) -> Task<void> {
        if (text.empty())
            co_await c.start(f.clientAddress(), EmulatedPlatform::databaseName(0, ReadPolicy::Primary), accountKey);
        else
            STRCMP_EQUAL_TEXT("", (co_await c.query(text)).code().c_str(), text.c_str());
    };
    fixture.run(query(fixture, client, ""));
    for (const auto* text : { "BEGIN", "WRITE w", "COMMIT", "BEGIN" })
        fixture.run(query(fixture, client, text));
    // Nothing is produced any more, and another client uses what is left.
    putLimit(fixture, RateLimit { 0, 0 });
    fixture.run(fixture.sleep(LimitTimes::sendAfterGrant + milliseconds(400)));
    const auto others = sendFrom(fixture, { 0 }, milliseconds(500), milliseconds(2));
    CHECK_TRUE(others.succeeded < LimitBound().slack && others.refused > 0);
    fixture.run([](TestClient& c) -> Task<void> {
        const auto answer = co_await c.query("WRITE w");
        STRCMP_EQUAL("BUSY", answer.code().c_str());
        STRCMP_CONTAINS("limit", answer.result.c_str());
    }(client));
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
