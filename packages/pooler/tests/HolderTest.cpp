#include "PoolerFixture.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;
using std::chrono::milliseconds;

namespace {

const std::string primaryDb = EmulatedPlatform::databaseName(0, ReadPolicy::Primary);
const std::string boundedDb = EmulatedPlatform::databaseName(0, ReadPolicy::Bounded);

constexpr int hosts = 6;
/// Time until every host has listed the others.
constexpr milliseconds hostDiscoveryTime { 2500 };

EmulatedPlatform::Shape shape(int maxConnections)
{
    EmulatedPlatform::Shape shape;
    shape.maxConnections = maxConnections;
    return shape;
}

std::uint64_t openedConnections(PoolerFixture& fixture)
{
    std::uint64_t opened = 0;
    for (int n = 0; n < 3; ++n)
        opened += fixture.platform().database(0, n).openedConnections();
    return opened;
}

/// Runs @p text @p times times on one new session, with @p pause after each; returns the number of failures.
Task<int> repeatQuery(PoolerFixture& fixture, int host, std::string database, std::string text, int times, milliseconds pause)
{
    int failed = 0;
    TestClient client(fixture.io());
    co_await client.start(fixture.clientAddress(host), database);
    for (int n = 0; n < times; ++n) {
        const auto answer = co_await client.query(text);
        failed += answer.isSuccess() ? 0 : 1;
        co_await fixture.sleep(pause);
    }
    co_return failed;
}

} // namespace

/// Covers the hosts that hold the connections of a service, and the hosts that borrow from them.
TEST_GROUP(Holder) {};

// Load: a fleet with more hosts than connections under a steady load. Guards against hosts that open a new connection
// for each probe and so take slots that statements need. The bound is the target of at most one new connection per 20
// requests.
TEST(Holder, SteadyLoadOpensFewConnections)
{
    constexpr int times = 40;
    PoolerFixture fixture(shape(4), hosts, 1);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.sleep(hostDiscoveryTime);
        const auto before = openedConnections(f);
        int left = hosts;
        int failed = 0;
        const auto work = [&](int host) -> Task<void> {
            const auto failures = co_await repeatQuery(f, host, host % 2 == 0 ? boundedDb : primaryDb, "READ item", times, milliseconds(50));
            failed += failures;
            --left;
        };
        for (int n = 0; n < hosts; ++n)
            asio::co_spawn(f.io(), work(n), asio::detached);
        while (left > 0)
            co_await f.sleep(milliseconds(20));
        LONGS_EQUAL(0, failed);
        const auto opened = openedConnections(f) - before;
        CHECK_TRUE_TEXT(opened * 20 <= hosts * times, ("new connections: " + std::to_string(opened)).c_str());
    }(fixture));
}

// Load: all hosts of a deployment start at once, before any of them has discovered the others. Guards against a host
// that assumes it is the only one and opens more connections than its share.
TEST(Holder, SimultaneousStartStaysWithinTheConnectionLimit)
{
    constexpr int limit = 4;
    PoolerFixture fixture(shape(limit), hosts, 1);
    fixture.run([](PoolerFixture& f) -> Task<void> { co_await f.sleep(hostDiscoveryTime); }(fixture));
    for (int n = 0; n < 3; ++n)
        CHECK_TRUE(fixture.platform().database(0, n).mostConnections() <= limit);
}

// Fault: a primary is unreachable from the host that holds its connections for a region. Guards against the whole
// region losing access to the primary because its holder has.
TEST(Holder, RequestsBypassAHolderThatCannotReachThePrimary)
{
    PoolerFixture fixture(shape(4), hosts, 3, true, 2);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.sleep(hostDiscoveryTime);
        const int cutOff = f.holder(f.platform().database(0, 0).entry().service, hosts, "region-0");
        int borrower = 0;
        while (borrower == cutOff)
            borrower += 2;
        co_await f.writeUntilSuccess(primaryDb, "WRITE item before", borrower);
        f.platform().database(0, 0).behaviour().unheardHosts = { "host-" + std::to_string(cutOff) };
        // The holder detects it with its probes.
        co_await f.sleep(milliseconds(1500));
        const auto failedWrites = co_await repeatQuery(f, borrower, primaryDb, "WRITE item after", 20, milliseconds(50));
        LONGS_EQUAL(0, failedWrites);
        const auto failedReads = co_await repeatQuery(f, cutOff, boundedDb, "READ item", 10, milliseconds(50));
        LONGS_EQUAL(0, failedReads);
    }(fixture));
    LONGS_EQUAL_TEXT(0, fixture.platform().promotions().size(), "a primary that others reach was replaced");
}

// Fault: a primary is unreachable from one host, and every host has connections of its own. Guards against the loss of
// the primary for that host's clients.
TEST(Holder, HostThatCannotReachThePrimaryBorrowsFromOneThatCan)
{
    PoolerFixture fixture(shape(20), 3);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.sleep(hostDiscoveryTime);
        co_await f.writeUntilSuccess(primaryDb, "WRITE item before", 0);
        f.platform().database(0, 0).behaviour().unheardHosts = { "host-0" };
        co_await f.sleep(milliseconds(1500));
        const auto failedWrites = co_await repeatQuery(f, 0, primaryDb, "WRITE item after", 20, milliseconds(50));
        LONGS_EQUAL(0, failedWrites);
        const auto failedReads = co_await repeatQuery(f, 0, boundedDb, "READ item", 10, milliseconds(50));
        LONGS_EQUAL(0, failedReads);
    }(fixture));
    LONGS_EQUAL_TEXT(0, fixture.platform().promotions().size(), "a primary that others reach was replaced");
    fixture.checkTransactions();
}

// Guards against a failed primary that is not replaced because the hosts query all peers, or none, about it. With
// scarce connections, only the holders have recorded its state.
TEST(Holder, HoldersReplaceACrashedPrimary)
{
    PoolerFixture fixture(shape(4), hosts, 3, true, 3);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.sleep(hostDiscoveryTime);
        co_await f.writeUntilSuccess(primaryDb, "WRITE item before", 1);
        f.platform().primary(0).crash();
        co_await f.writeUntilSuccess(primaryDb, "WRITE other after", 1);
    }(fixture));
    LONGS_EQUAL(1, std::ranges::count(fixture.platform().promotions(), 200, &OrderedPromotion::status));
}
