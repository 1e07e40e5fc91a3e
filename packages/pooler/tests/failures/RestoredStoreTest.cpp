#include "PoolerFixture.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

using namespace kumquatbank;
using std::chrono::milliseconds;

namespace {

const std::string primaryDb = EmulatedPlatform::databaseName(0, ReadPolicy::Primary);
const std::string boundedDb = EmulatedPlatform::databaseName(0, ReadPolicy::Bounded);

/// From the acknowledgement of a configuration to its being in force on every host: ConfigApplyMs of the deployments.
constexpr milliseconds configApplyTime { 3000 };
/// Hosts of one region, of which two follow the store for the others.
constexpr int manyHosts = 10;
/// Until every host has listed the others and the watches of followers have ended.
constexpr milliseconds hostDiscoveryTime { 4500 };
constexpr milliseconds outage { 800 };
/// Until what the hosts have written of themselves is back in the store. The databases take two seconds for the same.
constexpr milliseconds entryReturnTime { 4000 };
const std::string hostKind = "kumquatbank-hosts";
/// Changes that are lost with the copy, and as many again on the store's return.
constexpr int lostChanges = 12;

/// Changes to objects that no host reads; each takes a revision.
void takeRevisions(EmulatedStore& store, int count)
{
    for (int n = 0; n < count; ++n)
        store.put("unrelated", "object", n);
}

/// The store goes away and comes back from @p copy, without what was written since.
Task<void> returnFrom(PoolerFixture& fixture, EmulatedStore::Copy copy, milliseconds away = outage)
{
    auto& store = fixture.platform().store();
    store.behaviour().isDown = true;
    co_await fixture.sleep(away);
    store.restore(copy);
    store.behaviour().isDown = false;
}

/// Crashes the primary and waits until a host has had another one promoted.
Task<void> replacePrimary(PoolerFixture& fixture)
{
    auto& lost = fixture.platform().primary(0);
    lost.crash();
    co_await fixture.writeUntilSuccess(primaryDb, "WRITE item x");
    lost.restart();
    co_await fixture.sleep(milliseconds(300));
}

/// Has the primary replaced, and again after each of so many returns of the store from a copy before the first token.
Task<void> replacePrimaryAfterReturns(PoolerFixture& fixture, int returns)
{
    co_await fixture.sleep(milliseconds(1700));
    co_await fixture.writeUntilSuccess(primaryDb, "WRITE item before");
    const auto copy = fixture.platform().store().copy();
    co_await replacePrimary(fixture);
    for (int n = 0; n < returns; ++n) {
        co_await returnFrom(fixture, copy);
        fixture.platform().announceEntries();
        co_await fixture.sleep(milliseconds(2500));
        co_await replacePrimary(fixture);
    }
}

/// Fails the test unless each accepted promotion has a greater token than the one before.
void checkTokensIncrease(const EmulatedPlatform& platform, std::size_t expected)
{
    std::uint64_t newest = 0;
    std::size_t accepted = 0;
    for (const auto& order : platform.promotions()) {
        if (order.status != 200)
            continue;
        ++accepted;
        CHECK_TRUE_TEXT(order.token > newest, fmt::format("token {} of {} after token {}", order.token, order.holder, newest).c_str());
        newest = order.token;
    }
    CHECK_TRUE_TEXT(accepted >= expected, fmt::format("{} promotions", accepted).c_str());
}

} // namespace

/// The store comes back from an older copy: revisions are given out again, and what the hosts wrote since is gone.
TEST_GROUP(RestoredStore) {};

// Guards against a version that is never applied: a watch from a revision of the lost history skips the changes that got
// the same revisions again.
TEST(RestoredStore, AVersionWithAReusedRevisionIsApplied)
{
    PoolerFixture fixture;
    fixture.run([](PoolerFixture& f) -> Task<void> {
        auto& store = f.platform().store();
        co_await f.sleep(milliseconds(500));
        const auto copy = store.copy();
        takeRevisions(store, lostChanges);
        f.platform().putConfig();
        co_await f.sleep(milliseconds(500));
        store.behaviour().isDown = true;
        co_await f.sleep(milliseconds(2500));
        store.restore(copy);
        f.platform().config().routes.erase(boundedDb);
        f.platform().putConfig();
        takeRevisions(store, 2 * lostChanges);
        store.behaviour().isDown = false;
        co_await f.sleep(configApplyTime);
        const int changed = co_await f.hostsWithoutRoute(boundedDb, 1);
        LONGS_EQUAL(1, changed);
    }(fixture));
}

// Guards against a process that starts with the copy's older configuration and keeps it until the operator writes again.
TEST(RestoredStore, AProcessThatStartsAfterTheReturnTakesThePeersNewerConfiguration)
{
    PoolerFixture fixture;
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.sleep(milliseconds(500));
        const auto copy = f.platform().store().copy();
        f.platform().config().routes.erase(boundedDb);
        f.platform().putConfig();
        co_await f.sleep(milliseconds(500));
        co_await returnFrom(f, copy);
        f.startHost(1);
        co_await f.waitUntilReady(1);
        co_await f.sleep(configApplyTime);
        const int changed = co_await f.hostsWithoutRoute(boundedDb, 2);
        LONGS_EQUAL(2, changed);
    }(fixture));
}

// Guards against a fencing token that is given out twice: the write that took it is lost with the copy.
TEST(RestoredStore, ATokenThatTheStoreHasLostIsNotGivenOutAgain)
{
    PoolerFixture fixture({}, 3);
    fixture.run(replacePrimaryAfterReturns(fixture, 1), std::chrono::seconds(30));
    checkTokensIncrease(fixture.platform(), 2);
}

// Guards against a token that is given out twice at a second return soon after the first one.
TEST(RestoredStore, ATokenIsNotGivenOutAgainAfterASecondReturn)
{
    PoolerFixture fixture({}, 3);
    fixture.run(replacePrimaryAfterReturns(fixture, 2), std::chrono::seconds(40));
    checkTokensIncrease(fixture.platform(), 3);
}

// Guards against subscribers that keep the endpoints of the lost history: updates from followers were ordered by the
// number of the revision alone.
TEST(RestoredStore, AnEndpointWithAReusedRevisionReachesHostsThatDoNotWatch)
{
    PoolerFixture fixture({}, manyHosts, 1);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        auto& store = f.platform().store();
        co_await f.sleep(hostDiscoveryTime);
        const auto copy = store.copy();
        takeRevisions(store, lostChanges);
        f.platform().announce(f.platform().database(0, 1), true);
        co_await f.sleep(milliseconds(1500));
        takeRevisions(store, lostChanges);
        co_await f.sleep(milliseconds(2500));
        co_await returnFrom(f, copy);
        f.platform().announce(f.platform().database(0, 1), false);
        f.platform().announce(f.platform().database(0, 2), true);
        co_await f.sleep(configApplyTime);
        for (int n = 0; n < manyHosts; ++n) {
            const auto state = co_await f.state(n);
            const auto& endpoints = state.at("services").at("service-0").at("endpoints");
            CHECK_TRUE_TEXT(endpoints.at("i-0-2").at("draining") == true, fmt::format("host {} misses the entry written after the return", n).c_str());
            CHECK_TRUE_TEXT(endpoints.at("i-0-1").at("draining") == false, fmt::format("host {} keeps an entry of the lost history", n).c_str());
        }
    }(fixture),
        std::chrono::seconds(30));
}

// Guards against a draining endpoint that gets requests again, and one that had left and is used again, because the copy
// has their older entries.
TEST(RestoredStore, OlderEntriesOfEndpointsAreNotUsed)
{
    PoolerFixture fixture;
    fixture.run([](PoolerFixture& f) -> Task<void> {
        auto& store = f.platform().store();
        co_await f.sleep(milliseconds(500));
        const auto copy = store.copy();
        f.platform().announce(f.platform().database(0, 1), true);
        store.remove("servers", "i-0-2");
        // Until the removed entry counts as gone.
        co_await f.sleep(milliseconds(3500));
        co_await returnFrom(f, copy);
        const auto until = BootClock::now() + entryReturnTime;
        while (BootClock::now() < until) {
            const auto state = co_await f.state(0);
            const auto& endpoints = state.at("services").at("service-0").at("endpoints");
            CHECK_TRUE(endpoints.at("i-0-1").at("draining") == true);
            CHECK_FALSE(endpoints.contains("i-0-2"));
            co_await f.sleep(milliseconds(100));
        }
        f.platform().announce(f.platform().database(0, 1), false);
        f.platform().announce(f.platform().database(0, 2), false);
        co_await f.sleep(milliseconds(1000));
        const auto state = co_await f.state(0);
        const auto& endpoints = state.at("services").at("service-0").at("endpoints");
        CHECK_TRUE(endpoints.at("i-0-1").at("draining") == false);
        CHECK_TRUE(endpoints.contains("i-0-2"));
    }(fixture));
}

// Guards against hosts that stay unknown to the others: registrations that the copy lacks were renewed after up to 30 s.
TEST(RestoredStore, AHostWhoseRegistrationIsLostRegistersAgain)
{
    PoolerFixture fixture;
    fixture.run([](PoolerFixture& f) -> Task<void> {
        auto& store = f.platform().store();
        const auto copy = store.copy();
        f.startHost(1);
        co_await f.waitUntilReady(1);
        while (store.get(hostKind, "host-1").is_null())
            co_await f.sleep(milliseconds(50));
        co_await f.sleep(milliseconds(2500));
        co_await returnFrom(f, copy);
        co_await f.sleep(entryReturnTime);
        CHECK_FALSE(store.get(hostKind, "host-1").is_null());
        const auto state = co_await f.state(0);
        LONGS_EQUAL(1, state.at("peers").size());
    }(fixture));
}

// Guards against a share of the connections that is too large: a host that lists the others right after the return does
// not find those that have not registered again yet.
TEST(RestoredStore, AHostThatHasNotRegisteredAgainYetStillCounts)
{
    PoolerFixture fixture({}, 3);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        auto& store = f.platform().store();
        co_await f.sleep(hostDiscoveryTime);
        auto copy = store.copy();
        copy.objects[hostKind].clear();
        co_await returnFrom(f, copy);
        const auto until = BootClock::now() + entryReturnTime;
        while (BootClock::now() < until) {
            for (int n = 0; n < 3; ++n) {
                const auto state = co_await f.state(n);
                LONGS_EQUAL(2, state.at("peers").size());
            }
            co_await f.sleep(milliseconds(100));
        }
        LONGS_EQUAL(3, store.copy().objects.at(hostKind).size());
    }(fixture));
}
