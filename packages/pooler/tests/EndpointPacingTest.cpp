#include "PoolerFixture.h"

#include <CppUTest/TestHarness.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <limits>

using namespace kumquatbank;
using std::chrono::milliseconds;

namespace {

const std::string boundedDb = EmulatedPlatform::databaseName(0, ReadPolicy::Bounded);

constexpr int slots = 3;
constexpr int connectionLimit = 15;
/// Uses that hold all slots, and half as many more for the time on the network.
constexpr int startingUses = 5;
/// More than all endpoints accept together, so that requests always wait.
constexpr int clients = 70;
constexpr milliseconds usualWork { 3 };
constexpr milliseconds coldWork { 120 };
/// Far above the 1,000 ms that are tested without a network, because the machine may be busy with other tests.
constexpr milliseconds fullPaceLimit { 8000 };

constexpr int fewClients = 12;
constexpr milliseconds ejectionLimit { 12'000 };

void usePacing(PoolerSettings& settings) { settings.endpointPacing = true; }

/// What the clients of a test share.
struct Load {
    bool isDone = false;
    int succeeded = 0;
    int failed = 0;
};

Task<void> readUntilDone(PoolerFixture& fixture, int host, std::shared_ptr<Load> load)
{
    while (!load->isDone) {
        TestClient client(fixture.io());
        auto answer = co_await client.start(fixture.clientAddress(host), boundedDb);
        while (!answer.ready.empty() && !load->isDone) {
            answer = co_await client.query("READ k");
            ++(answer.isSuccess() ? load->succeeded : load->failed);
        }
        co_await fixture.sleep(milliseconds(10));
    }
}

/// Returns the greatest number of connections that @p database had at a time during @p duration.
Task<int> mostConnections(PoolerFixture& fixture, EmulatedDatabase& database, milliseconds duration)
{
    int most = 0;
    for (const auto until = BootClock::now() + duration; BootClock::now() < until;) {
        most = std::max(most, database.connections());
        co_await fixture.sleep(milliseconds(2));
    }
    co_return most;
}

Task<int> pace(PoolerFixture& fixture, std::string endpoint)
{
    const auto state = co_await fixture.state(0);
    co_return state["services"].front()["endpoints"][endpoint]["pace"].get<int>();
}

Task<void> expectPacedReturn(PoolerFixture& fixture)
{
    auto& platform = fixture.platform();
    auto& replica = platform.database(0, 1);
    const auto load = std::make_shared<Load>();
    for (int n = 0; n < clients; ++n)
        asio::co_spawn(fixture.io(), readUntilDone(fixture, 0, load), asio::detached);
    co_await fixture.sleep(milliseconds(1000));
    replica.crash();
    co_await fixture.sleep(milliseconds(1000));
    replica.behaviour().work = coldWork;
    replica.restart();
    // A probe may use one connection besides.
    const int whileCold = co_await mostConnections(fixture, replica, milliseconds(2500));
    CHECK_TRUE(whileCold > 0);
    CHECK_TRUE(whileCold <= startingUses + 1);
    replica.behaviour().work = usualWork;
    const auto quickSince = BootClock::now();
    int reached = 0;
    while (reached < connectionLimit && BootClock::now() - quickSince < fullPaceLimit) {
        co_await fixture.sleep(milliseconds(20));
        reached = co_await pace(fixture, replica.entry().id);
    }
    LONGS_EQUAL(connectionLimit, reached);
    load->isDone = true;
    co_await fixture.sleep(milliseconds(500));
}

Task<bool> isEjected(PoolerFixture& fixture, int host, std::string endpoint)
{
    const auto state = co_await fixture.state(host);
    co_return state["services"].front()["endpoints"][endpoint]["ejected"].get<bool>();
}

/// Waits until the ejection of an endpoint on a host is as expected.
Task<void> expectEjected(PoolerFixture& fixture, int host, std::string endpoint, bool expected)
{
    const auto until = BootClock::now() + ejectionLimit;
    bool found = !expected;
    while (found != expected && BootClock::now() < until) {
        co_await fixture.sleep(milliseconds(50));
        found = co_await isEjected(fixture, host, endpoint);
    }
    CHECK_EQUAL(expected, found);
}

/// @p decider: host that holds the connections.
Task<void> expectEjection(PoolerFixture& fixture, int hosts, int decider)
{
    auto& replica = fixture.platform().database(0, 1);
    const auto load = std::make_shared<Load>();
    for (int n = 0; n < fewClients; ++n)
        asio::co_spawn(fixture.io(), readUntilDone(fixture, n % hosts, load), asio::detached);
    co_await fixture.sleep(milliseconds(1000));
    // BEGIN and ROLLBACK, of which probes consist, are still answered.
    replica.behaviour().answersToLose = std::numeric_limits<int>::max();
    co_await expectEjected(fixture, decider, replica.entry().id, true);
    // Reads that were sent before the ejection have run out of time by then.
    co_await fixture.sleep(milliseconds(1500));
    load->succeeded = load->failed = 0;
    const auto ranBefore = replica.ran().size();
    co_await fixture.sleep(milliseconds(2000));
    CHECK_TRUE(load->succeeded > 0);
    LONGS_EQUAL(0, load->failed);
    const auto probes = replica.ran().size() - ranBefore;
    CHECK_TRUE(probes > 0);
    CHECK_TRUE(probes <= 5);
    replica.behaviour().answersToLose = 0;
    co_await expectEjected(fixture, decider, replica.entry().id, false);
    load->isDone = true;
    co_await fixture.sleep(milliseconds(500));
}

} // namespace

TEST_GROUP(EndpointPacing) {};

// Guards against a database that is met by this host's full share of connections when it is back and still slow, and
// against one that never gets the full share again.
TEST(EndpointPacing, ADatabaseThatIsBackGetsItsPaceAndThenTheFullShare)
{
    EmulatedPlatform::Shape shape;
    shape.slots = slots;
    shape.maxConnections = connectionLimit;
    shape.work = usualWork;
    PoolerFixture fixture(shape, 1, 3, true, 1, usePacing);
    fixture.run(expectPacedReturn(fixture), std::chrono::seconds(30));
}

// Guards against reads that go on to a database which answers its probes and no statement, and against one that never gets
// reads again once it answers.
TEST(EndpointPacing, ADatabaseThatAnswersNoStatementsGetsProbesOnly)
{
    EmulatedPlatform::Shape shape;
    shape.work = usualWork;
    PoolerFixture fixture(shape, 1, 3, true, 1, usePacing);
    fixture.run(expectEjection(fixture, 1, 0), std::chrono::seconds(40));
}

// The same where connections are lent: the lender decides, and borrowers tell it which reads may be sent as probes.
TEST(EndpointPacing, ALenderEjectsADatabaseForTheHostsOfItsRegion)
{
    constexpr int hosts = 6;
    EmulatedPlatform::Shape shape;
    shape.work = usualWork;
    shape.maxConnections = hosts - 1;
    PoolerFixture fixture(shape, hosts, 3, true, 1, usePacing);
    const auto service = fixture.platform().database(0, 0).entry().service;
    const int lender = fixture.holder(service, hosts, fixture.region(0));
    fixture.run(expectEjection(fixture, hosts, lender), std::chrono::seconds(40));
}
