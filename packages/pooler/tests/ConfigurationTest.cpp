#include "PoolerFixture.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;
using std::chrono::milliseconds;

namespace {

const std::string primaryDb = EmulatedPlatform::databaseName(0, ReadPolicy::Primary);
const std::string boundedDb = EmulatedPlatform::databaseName(0, ReadPolicy::Bounded);

} // namespace

TEST_GROUP(Configuration) {};

TEST(Configuration, ARemovedRouteIsRefusedFromTheNextOperationOn)
{
    PoolerFixture fixture;
    fixture.run([](PoolerFixture& f) -> Task<void> {
        TestClient client(f.io());
        co_await client.start(f.clientAddress(), boundedDb);
        f.platform().config().routes.erase(boundedDb);
        f.platform().putConfig();
        co_await f.sleep(milliseconds(200));
        const auto answer = co_await client.query("READ item");
        STRCMP_EQUAL("NODB", answer.code().c_str());
        TestClient newClient(f.io());
        const auto refused = co_await newClient.start(f.clientAddress(), boundedDb);
        STRCMP_EQUAL("NODB", refused.code().c_str());
    }(fixture));
}

// Guards against applying an older version, here one that an operator wrote by mistake.
TEST(Configuration, AnOlderVersionIsNeverApplied)
{
    PoolerFixture fixture;
    fixture.run([](PoolerFixture& f) -> Task<void> {
        const auto old = f.platform().config();
        f.platform().config().routes.erase(boundedDb);
        f.platform().putConfig();
        co_await f.sleep(milliseconds(200));
        f.platform().config() = old;
        f.platform().config().version -= 1;
        f.platform().putConfig();
        co_await f.sleep(milliseconds(200));
        TestClient newClient(f.io());
        const auto refused = co_await newClient.start(f.clientAddress(), boundedDb);
        STRCMP_EQUAL("NODB", refused.code().c_str());
    }(fixture));
}

// A watch whose history the store has discarded must list again, otherwise it would miss every later change.
TEST(Configuration, ALostHistoryCausesANewListing)
{
    PoolerFixture fixture;
    fixture.run([](PoolerFixture& f) -> Task<void> {
        f.platform().store().behaviour().isDown = true;
        co_await f.sleep(milliseconds(2600));
        f.platform().config().routes.erase(boundedDb);
        f.platform().putConfig();
        f.platform().store().forgetHistory();
        f.platform().store().behaviour().isDown = false;
        co_await f.sleep(milliseconds(1500));
        TestClient newClient(f.io());
        const auto refused = co_await newClient.start(f.clientAddress(), boundedDb);
        STRCMP_EQUAL("NODB", refused.code().c_str());
    }(fixture));
}

// Entries of other writers may lack fields. They are skipped, and the other entries stay in effect.
TEST(Configuration, UnreadableEntriesAreSkipped)
{
    PoolerFixture fixture;
    fixture.run([](PoolerFixture& f) -> Task<void> {
        f.platform().store().put("servers", "i-broken", { { "Service", "service-0" }, { "State", 17 } });
        f.platform().store().put("servers", "i-text", "not an object");
        co_await f.sleep(milliseconds(200));
        TestClient client(f.io());
        co_await client.start(f.clientAddress(), primaryDb);
        const auto written = co_await client.query("WRITE item x");
        CHECK_TRUE(written.isSuccess());
    }(fixture));
}

// A process that starts while the store is down must serve as soon as it has received the configuration, the endpoints
// and the hosts from a peer, and must apply changes from the store again afterwards.
TEST(Configuration, AProcessThatStartsWithoutTheStoreIsConfiguredByASeed)
{
    PoolerFixture fixture;
    fixture.run([](PoolerFixture& f) -> Task<void> {
        f.platform().store().behaviour().isDown = true;
        f.startHost(1);
        co_await f.waitUntilReady(1);
        TestClient client(f.io());
        co_await client.start(f.clientAddress(1), primaryDb);
        const auto written = co_await client.query("WRITE item x");
        CHECK_TRUE(written.isSuccess());
        f.platform().store().behaviour().isDown = false;
        f.platform().config().routes.erase(boundedDb);
        f.platform().putConfig();
        co_await f.sleep(milliseconds(2000));
        TestClient newClient(f.io());
        const auto refused = co_await newClient.start(f.clientAddress(1), boundedDb);
        STRCMP_EQUAL("NODB", refused.code().c_str());
    }(fixture));
}

// Without a peer there is no configuration, and a process that reports ready would refuse every session.
TEST(Configuration, AProcessWithoutAConfigurationIsNotReady)
{
    PoolerFixture fixture({}, 0);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        f.platform().store().behaviour().isDown = true;
        f.startHost(1);
        co_await f.sleep(milliseconds(2500));
        const auto before = co_await f.ready(1);
        LONGS_EQUAL(503, before);
        f.platform().store().behaviour().isDown = false;
        co_await f.waitUntilReady(1);
    }(fixture));
}

// After all processes were killed while the store is down, none has a list of hosts. One that took its seed for the
// only other host would open half of a database's connections, and the others would get none.
TEST(Configuration, APeerWithoutAHostListIsNotTakenForTheOnlyHost)
{
    PoolerFixture fixture({}, 0);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        f.platform().store().behaviour().isDown = true;
        f.startHost(0);
        f.startHost(1);
        co_await f.sleep(milliseconds(2500));
        const auto state = co_await f.state(1);
        CHECK_TRUE(state.at("peers").empty());
    }(fixture));
}

TEST(Configuration, SurvivesAStoreThatIsDown)
{
    PoolerFixture fixture;
    fixture.run([](PoolerFixture& f) -> Task<void> {
        TestClient client(f.io());
        co_await client.start(f.clientAddress(), primaryDb);
        f.platform().store().behaviour().isDown = true;
        co_await f.sleep(milliseconds(3500));
        const auto written = co_await client.query("WRITE item x");
        CHECK_TRUE(written.isSuccess());
    }(fixture));
}

// Guards against a planned stop that interrupts a request or an open transaction.
TEST(Configuration, ADrainFinishesTransactionsAndClosesIdleSessions)
{
    PoolerFixture fixture;
    fixture.run([](PoolerFixture& f) -> Task<void> {
        TestClient busy(f.io());
        TestClient idle(f.io());
        co_await busy.start(f.clientAddress(), primaryDb);
        co_await idle.start(f.clientAddress(), primaryDb);
        co_await busy.query("BEGIN");
        co_await busy.query("WRITE item x");
        bool isDrained = false;
        asio::co_spawn(f.io(), f.process(0).drain(), [&](std::exception_ptr) { isDrained = true; });
        co_await f.sleep(milliseconds(100));
        const auto status = co_await f.ready(0);
        LONGS_EQUAL(503, status);
        co_await f.sleep(milliseconds(1200));
        // The close of the idle session has been announced; a request that crosses the announcement is refused.
        const auto refused = co_await idle.query("READ item");
        STRCMP_EQUAL("BUSY", refused.code().c_str());
        STRCMP_EQUAL("READY I -", refused.ready.c_str());
        co_await f.sleep(milliseconds(50));
        const auto closed = co_await idle.query("READ item");
        STRCMP_EQUAL("", closed.ready.c_str());
        CHECK_FALSE(isDrained);
        const auto committed = co_await busy.query("COMMIT");
        CHECK_TRUE(committed.isSuccess());
        co_await f.sleep(milliseconds(700));
        CHECK_TRUE(isDrained);
    }(fixture));
}
