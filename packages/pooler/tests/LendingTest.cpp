#include "PoolerFixture.h"
#include "kumquatbank/duties/duties.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;
using std::chrono::milliseconds;

namespace {

const std::string primaryDb = EmulatedPlatform::databaseName(0, ReadPolicy::Primary);
const std::string ownWritesDb = EmulatedPlatform::databaseName(0, ReadPolicy::ReadYourWrites);

constexpr int hosts = 6;
constexpr int scarceLimit = 4;
/// Time until every host has listed the others.
constexpr milliseconds hostDiscoveryTime { 2000 };

EmulatedPlatform::Shape scarceShape(int slots = 3, milliseconds work = milliseconds(1))
{
    EmulatedPlatform::Shape shape;
    shape.maxConnections = scarceLimit;
    shape.slots = slots;
    shape.work = work;
    return shape;
}

/// Returns some host other than the lender.
int borrowerOtherThan(int lender) { return (lender + 1) % hosts; }

} // namespace

/// There are more hosts than connections, so one host holds the connections for the others.
TEST_GROUP(Lending) {};

// Guards against session values and prepared statements of one host being applied to statements of another. Both hosts
// use the lender's connections in turn.
TEST(Lending, BorrowedConnectionsCarryTheirSession)
{
    // The lender has one connection, so every session gets the one that another session used before.
    auto shape = scarceShape();
    shape.maxConnections = 2;
    PoolerFixture fixture(shape, hosts, 1);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.sleep(hostDiscoveryTime);
        std::vector<std::unique_ptr<TestClient>> clients;
        for (int n = 0; n < hosts; ++n) {
            clients.push_back(std::make_unique<TestClient>(f.io()));
            co_await clients.back()->start(f.clientAddress(n), primaryDb);
            const auto own = std::to_string(n);
            // The names collide; every other client sets no value.
            if (n % 2 == 0)
                co_await clients.back()->query("SET who " + own);
            co_await clients.back()->query("PREPARE s WRITE shape" + own);
        }
        for (int round = 0; round < 4; ++round) {
            for (int n = 0; n < hosts; ++n) {
                auto& client = *clients[static_cast<std::size_t>(n)];
                const auto answer = co_await client.query("EXEC s item x");
                CHECK_TRUE_TEXT(answer.isSuccess(), answer.result.c_str());
                const auto ran = f.platform().ran();
                const auto it = std::ranges::find(ran, client.lastId(), &RanStatement::id);
                CHECK_TRUE(it != ran.end());
                std::map<std::string, std::string> expected;
                if (n % 2 == 0)
                    expected["who"] = std::to_string(n);
                CHECK_TRUE(it->values == expected);
            }
        }
    }(fixture));
    fixture.checkTransactions();
}

// Guards against a transaction that continues after its borrower has ended it, and against a statement of another host
// running inside it.
TEST(Lending, TransactionsOfAllHostsAreIsolated)
{
    PoolerFixture fixture(scarceShape(), hosts, 1);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.sleep(hostDiscoveryTime);
        int left = hosts;
        int committed = 0;
        const auto work = [&](int host) -> Task<void> {
            TestClient client(f.io());
            co_await client.start(f.clientAddress(host), primaryDb);
            for (int n = 0; n < 8; ++n) {
                co_await client.query("BEGIN");
                const auto written = co_await client.query("WRITE item x");
                co_await f.sleep(milliseconds(5));
                const auto ended = co_await client.query(n % 3 == 0 ? "ROLLBACK" : "COMMIT");
                committed += written.isSuccess() && ended.isSuccess() ? 1 : 0;
            }
            --left;
        };
        for (int n = 0; n < hosts; ++n)
            asio::co_spawn(f.io(), work(n), asio::detached);
        while (left > 0)
            co_await f.sleep(milliseconds(20));
        LONGS_EQUAL(hosts * 8, committed);
    }(fixture));
    fixture.checkTransactions();
}

// Guards against repeated requests to a lender that no longer exists. Its entry stays in the store for a while.
TEST(Lending, UnreachableLenderIsSkipped)
{
    PoolerFixture fixture(scarceShape(), hosts, 1);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        const auto service = f.platform().database(0, 0).entry().service;
        // A name that ranks above every host of the fixture.
        std::string missingHost;
        for (int n = hosts; missingHost.empty(); ++n) {
            std::vector<PlacementHost> candidates { { "host-" + std::to_string(n), "dc-0", "region" } };
            for (int other = 0; other < hosts; ++other)
                candidates.push_back({ "host-" + std::to_string(other), "dc-0", "region" });
            if (Placement(candidates).holders(service, "region").front().name == candidates.front().name)
                missingHost = candidates.front().name;
        }
        f.platform().store().put("kumquatbank-hosts", missingHost, { { "peerAddress", "127.0.0.1:9" }, { "loanAddress", "127.0.0.1:9" }, { "region", "region" } });
        co_await f.sleep(milliseconds(6500));
        TestClient client(f.io());
        co_await client.start(f.clientAddress(0), primaryDb);
        for (int n = 0; n < 20; ++n) {
            const auto answer = co_await client.query("WRITE item x");
            CHECK_TRUE_TEXT(answer.isSuccess(), answer.result.c_str());
            co_await f.sleep(milliseconds(20));
        }
    }(fixture));
}

// Guards against losing loans in a planned stop of the lender: open transactions continue, and new requests go to other
// hosts.
TEST(Lending, PlannedStopOfTheLenderKeepsOpenLoans)
{
    PoolerFixture fixture(scarceShape(), hosts, 1);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.sleep(hostDiscoveryTime);
        const int stopping = f.holder(f.platform().database(0, 0).entry().service, hosts, "region");
        TestClient open(f.io());
        TestClient next(f.io());
        co_await open.start(f.clientAddress(borrowerOtherThan(stopping)), primaryDb);
        co_await next.start(f.clientAddress(borrowerOtherThan(stopping)), primaryDb);
        co_await open.query("BEGIN");
        const auto first = co_await open.query("WRITE item one");
        CHECK_TRUE(first.isSuccess());
        bool isDrained = false;
        const auto drain = [&]() -> Task<void> {
            co_await f.process(stopping).drain();
            isDrained = true;
        };
        asio::co_spawn(f.io(), drain(), asio::detached);
        co_await f.sleep(milliseconds(300));
        const auto other = co_await next.query("WRITE item two");
        CHECK_TRUE_TEXT(other.isSuccess(), other.result.c_str());
        const auto second = co_await open.query("WRITE item three");
        CHECK_TRUE_TEXT(second.isSuccess(), second.result.c_str());
        CHECK_FALSE(isDrained);
        const auto committed = co_await open.query("COMMIT");
        CHECK_TRUE_TEXT(committed.isSuccess(), committed.result.c_str());
    }(fixture));
    fixture.checkTransactions();
}

// Load: every host sends a burst of lowest-priority statements, more than the database can serve, and urgent
// statements. With a separate queue on each host, urgent requests would wait for connections that background work of
// other hosts holds.
TEST(Lending, UrgentRequestsOfEveryHostPrecedeLowPriorityBursts)
{
    PoolerFixture fixture(scarceShape(1, milliseconds(10)), hosts, 1);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.sleep(hostDiscoveryTime);
        constexpr int backgroundClients = 5;
        constexpr int urgentStatements = 10;
        const auto until = BootClock::now() + milliseconds(4000);
        int left = 0;
        int refusedUrgent = 0;
        BootClock::duration urgentTime {};
        const auto background = [&](int host) -> Task<void> {
            TestClient client(f.io());
            co_await client.start(f.clientAddress(host), ownWritesDb);
            while (BootClock::now() < until) {
                const auto answer = co_await client.query("WRITE item x");
                if (!answer.isSuccess())
                    co_await f.sleep(milliseconds(50));
            }
            --left;
        };
        const auto urgent = [&](int host) -> Task<void> {
            TestClient client(f.io());
            co_await client.start(f.clientAddress(host), primaryDb);
            for (int n = 0; n < urgentStatements; ++n) {
                const auto since = BootClock::now();
                const auto answer = co_await client.query("WRITE item x");
                urgentTime += BootClock::now() - since;
                refusedUrgent += answer.isSuccess() ? 0 : 1;
                co_await f.sleep(milliseconds(250));
            }
            --left;
        };
        for (int host = 0; host < hosts; ++host) {
            left += backgroundClients + 1;
            for (int n = 0; n < backgroundClients; ++n)
                asio::co_spawn(f.io(), background(host), asio::detached);
            asio::co_spawn(f.io(), urgent(host), asio::detached);
        }
        while (left > 0)
            co_await f.sleep(milliseconds(20));
        LONGS_EQUAL(0, refusedUrgent);
        // Up to four statements run at the same time. An urgent one waits for those and for other urgent ones.
        const auto mean = urgentTime / (hosts * urgentStatements);
        CHECK_TRUE_TEXT(mean < milliseconds(150), ("urgent writes took " + std::to_string(toMs(mean)) + " ms in the mean").c_str());
    }(fixture));
}
