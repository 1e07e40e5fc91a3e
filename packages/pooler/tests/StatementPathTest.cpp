#include "PoolerFixture.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

using namespace kumquatbank;
using std::chrono::milliseconds;

namespace {

const std::string primaryDb = EmulatedPlatform::databaseName(0, ReadPolicy::Primary);
const std::string boundedDb = EmulatedPlatform::databaseName(0, ReadPolicy::Bounded);
const std::string ownDb = EmulatedPlatform::databaseName(0, ReadPolicy::ReadYourWrites);

EmulatedPlatform::Shape laggingReplicas(milliseconds lag)
{
    EmulatedPlatform::Shape shape;
    shape.lag = lag;
    return shape;
}

EmulatedPlatform::Shape scarceConnections()
{
    EmulatedPlatform::Shape shape;
    shape.maxConnections = 1;
    return shape;
}

std::vector<RanStatement> statementsRunWithId(EmulatedPlatform& platform, const std::string& id)
{
    auto all = platform.ran();
    std::erase_if(all, [&](const RanStatement& ran) { return ran.id != id; });
    return all;
}

} // namespace

TEST_GROUP(StatementPath) {};

TEST(StatementPath, ServesEveryStatement)
{
    PoolerFixture fixture;
    fixture.run([](PoolerFixture& f) -> Task<void> {
        TestClient client(f.io());
        const auto started = co_await client.start(f.clientAddress(), primaryDb);
        CHECK_EQUAL('I', started.state());
        const auto written = co_await client.query("WRITE a one two");
        CHECK_TRUE(written.isSuccess());
        CHECK_FALSE(written.result == "DONE -");
        const auto read = co_await client.query("READ a");
        STRCMP_EQUAL("one two", read.rows.at(0).c_str());
        const auto prepared = co_await client.query("PREPARE w WRITE q1");
        STRCMP_EQUAL("DONE -", prepared.result.c_str());
        const auto executed = co_await client.query("EXEC w a three");
        CHECK_TRUE(executed.isSuccess());
        const auto begun = co_await client.query("BEGIN");
        CHECK_EQUAL('T', begun.state());
        const auto inside = co_await client.query("WRITE b four");
        CHECK_EQUAL('T', inside.state());
        const auto committed = co_await client.query("COMMIT");
        CHECK_TRUE(committed.isSuccess());
        CHECK_EQUAL('I', committed.state());
        const auto after = co_await client.query("READ b");
        STRCMP_EQUAL("four", after.rows.at(0).c_str());
        const auto freed = co_await client.query("DEALLOC w");
        CHECK_TRUE(freed.isSuccess());
        const auto deallocated = co_await client.query("EXEC w a five");
        STRCMP_EQUAL("NOSTMT", deallocated.code().c_str());
    }(fixture));
    fixture.checkTransactions();
}

// Guards against a read on a replica that has not yet applied the session's own write.
TEST(StatementPath, ASessionReadsItsOwnWritesThoughReplicasLag)
{
    PoolerFixture fixture(laggingReplicas(milliseconds(150)));
    fixture.run([](PoolerFixture& f) -> Task<void> {
        TestClient client(f.io());
        co_await client.start(f.clientAddress(), ownDb);
        for (int n = 0; n < 10; ++n) {
            const auto write = fmt::format("WRITE item v{}", n);
            const auto written = co_await client.query(write);
            CHECK_TRUE(written.isSuccess());
            const auto read = co_await client.query("READ item");
            CHECK_TRUE(read.isSuccess());
            STRCMP_EQUAL(fmt::format("v{}", n).c_str(), read.rows.at(0).c_str());
        }
    }(fixture));
}

// Guards against a read with bounded staleness that misses an older commit written through another host.
TEST(StatementPath, BoundedReadsSeeCommitsOlderThanTheBoundOnEveryHost)
{
    PoolerFixture fixture(laggingReplicas(milliseconds(4000)), 2);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        TestClient writer(f.io());
        TestClient reader(f.io());
        co_await writer.start(f.clientAddress(0), primaryDb);
        co_await reader.start(f.clientAddress(1), boundedDb);
        co_await reader.query("READ item");
        const auto written = co_await writer.query("WRITE item new");
        CHECK_TRUE(written.isSuccess());
        co_await f.sleep(milliseconds(1700));
        const auto read = co_await reader.query("READ item");
        CHECK_TRUE(read.isSuccess());
        STRCMP_EQUAL("new", read.rows.at(0).c_str());
    }(fixture));
}

TEST(StatementPath, BoundedReadsAreServedByReplicasWhileTheyKeepUp)
{
    PoolerFixture fixture;
    fixture.run([](PoolerFixture& f) -> Task<void> {
        TestClient client(f.io());
        co_await client.start(f.clientAddress(), boundedDb);
        const auto before = f.platform().database(0, 0).ran().size();
        for (int n = 0; n < 30; ++n) {
            const auto read = co_await client.query("READ item");
            CHECK_TRUE(read.isSuccess());
        }
        LONGS_EQUAL(before, f.platform().database(0, 0).ran().size());
    }(fixture));
}

// Guards against a read on a replaced primary. The store is down, so the host can detect the change only through the
// databases.
TEST(StatementPath, PrimaryReadsDoNotTrustAReplacedPrimary)
{
    PoolerFixture fixture;
    fixture.run([](PoolerFixture& f) -> Task<void> {
        TestClient client(f.io());
        co_await client.start(f.clientAddress(), primaryDb);
        co_await client.query("WRITE item old");
        co_await f.sleep(milliseconds(50));
        f.platform().store().behaviour().isDown = true;
        f.platform().service(0).log("i-0-0").lag = milliseconds(5000);
        f.platform().service(0).promote("i-0-1");
        f.platform().service(0).commit({ { "item", "new" } }, "elsewhere");
        const auto read = co_await client.query("READ item");
        CHECK_TRUE(read.isSuccess());
        STRCMP_EQUAL("new", read.rows.at(0).c_str());
    }(fixture));
}

// Guards against session values and prepared statements of one client being applied to another client's statements.
TEST(StatementPath, SessionsShareAConnectionWithoutSharingState)
{
    PoolerFixture fixture(scarceConnections());
    fixture.run([](PoolerFixture& f) -> Task<void> {
        TestClient one(f.io());
        TestClient two(f.io());
        co_await one.start(f.clientAddress(), primaryDb);
        co_await two.start(f.clientAddress(), primaryDb);
        co_await one.query("SET tz utc");
        co_await one.query("SET who one");
        co_await two.query("SET who two");
        co_await one.query("PREPARE s WRITE shape1");
        co_await two.query("PREPARE s READ shape2");
        for (int n = 0; n < 4; ++n) {
            const auto first = co_await one.query("EXEC s item x");
            CHECK_TRUE(first.isSuccess());
            const auto firstRan = statementsRunWithId(f.platform(), one.lastId());
            LONGS_EQUAL(1, firstRan.size());
            CHECK_TRUE(firstRan[0].values == (std::map<std::string, std::string> { { "tz", "utc" }, { "who", "one" } }));
            const auto second = co_await two.query("EXEC s item");
            CHECK_TRUE(second.isSuccess());
            STRCMP_EQUAL("x", second.rows.at(0).c_str());
            const auto secondRan = statementsRunWithId(f.platform(), two.lastId());
            CHECK_TRUE(secondRan[0].values == (std::map<std::string, std::string> { { "who", "two" } }));
        }
    }(fixture));
}

// Guards against statements of one client running inside another client's transaction when connections are scarce.
TEST(StatementPath, TransactionsKeepTheirConnectionThroughPauses)
{
    PoolerFixture fixture;
    fixture.run([](PoolerFixture& f) -> Task<void> {
        std::vector<std::unique_ptr<TestClient>> clients;
        for (int n = 0; n < 6; ++n) {
            clients.push_back(std::make_unique<TestClient>(f.io()));
            co_await clients.back()->start(f.clientAddress(), primaryDb);
            co_await clients.back()->query("BEGIN");
        }
        for (int round = 0; round < 3; ++round) {
            for (const auto& client : clients) {
                const auto answer = co_await client->query("WRITE item x");
                CHECK_TRUE(answer.isSuccess() || answer.state() == 'E');
            }
        }
        for (const auto& client : clients)
            co_await client->query("COMMIT");
    }(fixture));
    fixture.checkTransactions();
}

// Guards against running a write twice after its answer is lost.
TEST(StatementPath, ALostAnswerToAWriteIsInDoubtAndNotRepeated)
{
    PoolerFixture fixture;
    fixture.run([](PoolerFixture& f) -> Task<void> {
        TestClient client(f.io());
        co_await client.start(f.clientAddress(), primaryDb);
        f.platform().database(0, 0).behaviour().answersToLose = 1;
        const auto answer = co_await client.query("WRITE item once");
        STRCMP_EQUAL("INDOUBT", answer.code().c_str());
        LONGS_EQUAL(1, statementsRunWithId(f.platform(), client.lastId()).size());
        const auto next = co_await client.query("WRITE item again");
        CHECK_TRUE(next.isSuccess());
    }(fixture));
}

TEST(StatementPath, ALostAnswerToACommitIsInDoubt)
{
    PoolerFixture fixture;
    fixture.run([](PoolerFixture& f) -> Task<void> {
        TestClient client(f.io());
        co_await client.start(f.clientAddress(), primaryDb);
        co_await client.query("BEGIN");
        co_await client.query("WRITE item once");
        f.platform().database(0, 0).behaviour().answersToLose = 1;
        const auto answer = co_await client.query("COMMIT");
        STRCMP_EQUAL("INDOUBT", answer.code().c_str());
        CHECK_EQUAL('I', answer.state());
    }(fixture));
}

// The database rolls back when a connection is lost before COMMIT, so the client may receive ABORTED, which states that
// no write is kept.
TEST(StatementPath, ALostAnswerInsideATransactionAbortsIt)
{
    PoolerFixture fixture;
    fixture.run([](PoolerFixture& f) -> Task<void> {
        TestClient client(f.io());
        co_await client.start(f.clientAddress(), primaryDb);
        co_await client.query("BEGIN");
        f.platform().database(0, 0).behaviour().answersToLose = 1;
        const auto answer = co_await client.query("WRITE item gone");
        STRCMP_EQUAL("ABORTED", answer.code().c_str());
        CHECK_EQUAL('E', answer.state());
        const auto inside = co_await client.query("READ item");
        STRCMP_EQUAL("MALFORMED", inside.code().c_str());
        const auto ended = co_await client.query("ROLLBACK");
        CHECK_EQUAL('I', ended.state());
        const auto read = co_await client.query("READ item");
        STRCMP_EQUAL("", read.rows.at(0).c_str());
    }(fixture));
}

TEST(StatementPath, ALostAnswerToAReadIsRetriedOnAnotherEndpoint)
{
    PoolerFixture fixture;
    fixture.run([](PoolerFixture& f) -> Task<void> {
        TestClient client(f.io());
        co_await client.start(f.clientAddress(), boundedDb);
        f.platform().database(0, 1).behaviour().answersToLose = 1;
        f.platform().database(0, 2).behaviour().answersToLose = 1;
        const auto answer = co_await client.query("READ item");
        CHECK_TRUE(answer.isSuccess());
    }(fixture));
}

// Guards against client input that crashes the process or exhausts its memory.
TEST(StatementPath, InvalidInputIsAnsweredOrClosed)
{
    PoolerFixture fixture;
    fixture.run([](PoolerFixture& f) -> Task<void> {
        TestClient client(f.io());
        const auto unknown = co_await client.start(f.clientAddress(), "nowhere");
        STRCMP_EQUAL("NODB", unknown.code().c_str());
        co_await client.start(f.clientAddress(), primaryDb);
        const auto garbage = co_await client.sendRaw("GARBAGE\r\n");
        STRCMP_EQUAL("MALFORMED", garbage.code().c_str());
        const auto statement = co_await client.query("DROP everything");
        STRCMP_EQUAL("MALFORMED", statement.code().c_str());
        const auto commit = co_await client.query("COMMIT");
        STRCMP_EQUAL("MALFORMED", commit.code().c_str());
        const std::string tooLong(WireDialect::maxMessageBytes + 10, 'x');
        const auto refused = co_await client.sendRaw("QUERY 1 WRITE a " + tooLong + "\r\n");
        STRCMP_EQUAL("TOOBIG", refused.code().c_str());
        TestClient disconnecting(f.io());
        co_await disconnecting.start(f.clientAddress(), primaryDb);
        disconnecting.close();
        TestClient next(f.io());
        co_await next.start(f.clientAddress(), primaryDb);
        const auto written = co_await next.query("WRITE item x");
        CHECK_TRUE(written.isSuccess());
    }(fixture));
}

TEST(StatementPath, PipelinedStatementsAreAnsweredInOrder)
{
    PoolerFixture fixture;
    fixture.run([](PoolerFixture& f) -> Task<void> {
        TestClient client(f.io());
        co_await client.start(f.clientAddress(), primaryDb);
        const auto first = co_await client.sendRaw("QUERY p1 WRITE a 1\r\nQUERY p2 WRITE a 2\r\nQUERY p3 READ a\r\n");
        const auto second = co_await client.sendRaw("");
        const auto third = co_await client.sendRaw("");
        CHECK_TRUE(first.isSuccess() && second.isSuccess() && third.isSuccess());
        STRCMP_EQUAL("2", third.rows.at(0).c_str());
    }(fixture));
}

// Guards against an idle transaction that holds one of few connections indefinitely.
TEST(StatementPath, AnIdleTransactionIsEndedAndItsClientIsTold)
{
    PoolerFixture fixture(scarceConnections());
    fixture.platform().config().transactionIdle = milliseconds(200);
    fixture.platform().putConfig();
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.sleep(milliseconds(300));
        TestClient idleClient(f.io());
        co_await idleClient.start(f.clientAddress(), primaryDb);
        co_await idleClient.query("BEGIN");
        co_await idleClient.query("WRITE item resting");
        co_await f.sleep(milliseconds(500));
        TestClient other(f.io());
        co_await other.start(f.clientAddress(), primaryDb);
        const auto written = co_await other.query("WRITE item other");
        CHECK_TRUE(written.isSuccess());
        const auto late = co_await idleClient.query("WRITE item late");
        STRCMP_EQUAL("ABORTED", late.code().c_str());
        const auto ended = co_await idleClient.query("ROLLBACK");
        CHECK_EQUAL('I', ended.state());
        const auto read = co_await other.query("READ item");
        STRCMP_EQUAL("other", read.rows.at(0).c_str());
    }(fixture));
}

// Load: hosts restart while the database still counts the connections of their earlier run, so it refuses new ones. The
// open connections must continue to serve.
TEST(StatementPath, AFullDatabaseIsServedThroughTheOpenConnections)
{
    EmulatedPlatform::Shape shape;
    shape.work = milliseconds(5);
    PoolerFixture fixture(shape);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.writeUntilSuccess(primaryDb, "WRITE item first");
        f.platform().database(0, 0).behaviour().maxConnections = 1;
        int left = 4;
        int failed = 0;
        const auto work = [&]() -> Task<void> {
            TestClient client(f.io());
            co_await client.start(f.clientAddress(), primaryDb);
            for (int n = 0; n < 10; ++n) {
                const auto answer = co_await client.query("WRITE item x");
                failed += answer.isSuccess() ? 0 : 1;
            }
            --left;
        };
        for (int n = 0; n < 4; ++n)
            asio::co_spawn(f.io(), work(), asio::detached);
        while (left > 0)
            co_await f.sleep(milliseconds(20));
        LONGS_EQUAL(0, failed);
    }(fixture));
}

// Guards against all hosts together opening more connections than a database accepts.
TEST(StatementPath, HostsShareTheConnectionsOfADatabase)
{
    EmulatedPlatform::Shape shape;
    shape.maxConnections = 6;
    shape.work = milliseconds(5);
    PoolerFixture fixture(shape, 2);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        // Both hosts have discovered each other after their next listing.
        co_await f.sleep(milliseconds(1800));
        int left = 24;
        const auto work = [&](int host) -> Task<void> {
            TestClient client(f.io());
            co_await client.start(f.clientAddress(host), primaryDb);
            for (int n = 0; n < 10; ++n)
                co_await client.query("WRITE item x");
            --left;
        };
        for (int n = 0; n < 24; ++n)
            asio::co_spawn(f.io(), work(n % 2), asio::detached);
        while (left > 0)
            co_await f.sleep(milliseconds(20));
        CHECK_TRUE(f.platform().database(0, 0).mostConnections() <= 6);
    }(fixture));
}
