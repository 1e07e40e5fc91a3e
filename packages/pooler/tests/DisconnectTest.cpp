#include "PoolerFixture.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;
using std::chrono::milliseconds;

namespace {

const std::string database = EmulatedPlatform::databaseName(0, ReadPolicy::ReadYourWrites);

/// Well below the 480 ms for which a request of the database may be queued.
constexpr milliseconds noticeLimit { 200 };
/// Longer than the time within which an end of the input counts as that of a client that reads its answer.
constexpr milliseconds patience { 130 };

EmulatedPlatform::Shape oneConnection(int connections = 1)
{
    EmulatedPlatform::Shape shape;
    shape.maxConnections = connections;
    return shape;
}

/// Waits until @p count requests wait on the host; returns false if that takes longer than @p limit.
Task<bool> haveWaiting(PoolerFixture& f, int host, int count, milliseconds limit)
{
    const auto service = f.platform().database(0, 0).entry().service;
    const auto until = BootClock::now() + limit;
    while (BootClock::now() < until) {
        const auto state = co_await f.state(host);
        if (state["services"][service]["waiting"] == count)
            co_return true;
        co_await f.sleep(milliseconds(5));
    }
    co_return false;
}

/// Opens a transaction that holds the only connection.
Task<void> holdConnection(PoolerFixture& f, TestClient& holder, int host = 0)
{
    co_await f.writeUntilSuccess(database, "WRITE item first", host);
    co_await holder.start(f.clientAddress(host), database);
    co_await holder.query("BEGIN");
    const auto written = co_await holder.query("WRITE item held");
    CHECK_TRUE(written.isSuccess());
}

/// Starts a session and sends @p lines in one piece.
Task<std::optional<LineChannel>> sendAhead(PoolerFixture& f, std::string lines, int host = 0)
{
    auto channel = co_await LineChannel::connect(f.io(), f.clientAddress(host), WireDialect::maxMessageBytes, milliseconds(1000), milliseconds(3000));
    const auto text = "START " + database + " client\r\n" + lines;
    co_await channel->write(text, BootClock::now() + milliseconds(1000));
    co_return channel;
}

bool hasRun(PoolerFixture& f, const std::string& id)
{
    const auto ran = f.platform().ran();
    return std::ranges::find(ran, id, &RanStatement::id) != ran.end();
}

} // namespace

TEST_GROUP(Disconnect) {};

// Guards against places in the queue that are held by clients that have given up. The statements that the client has sent
// ahead keep its socket readable, and none of them may run.
TEST(Disconnect, AQueuedStatementOfADisconnectedClientLeavesTheQueue)
{
    PoolerFixture fixture(oneConnection());
    fixture.run([](PoolerFixture& f) -> Task<void> {
        TestClient holder(f.io());
        co_await holdConnection(f, holder);
        for (const std::string behind : { "", "QUERY gone2 WRITE item gone\r\nQUERY gone3 WRITE item gone\r\n" }) {
            const auto lines = "QUERY gone1 WRITE item gone\r\n" + behind;
            auto client = co_await sendAhead(f, lines);
            const bool isQueued = co_await haveWaiting(f, 0, 1, milliseconds(1000));
            CHECK_TRUE(isQueued);
            co_await f.sleep(patience);
            client.reset();
            const bool hasLeft = co_await haveWaiting(f, 0, 0, noticeLimit);
            CHECK_TRUE(hasLeft);
        }
        const auto committed = co_await holder.query("COMMIT");
        CHECK_TRUE(committed.isSuccess());
        co_await f.sleep(milliseconds(100));
        CHECK_FALSE(hasRun(f, "gone1") || hasRun(f, "gone2") || hasRun(f, "gone3"));
    }(fixture));
}

// Guards against a borrower that leaves the requests of disconnected clients in the queue of the lender.
TEST(Disconnect, ABorrowedRequestOfADisconnectedClientLeavesTheQueueOfTheLender)
{
    constexpr int hosts = 6;
    PoolerFixture fixture(oneConnection(2), hosts, 1);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.sleep(milliseconds(2000)); // Until every host has listed the others.
        const int lender = f.holder(f.platform().database(0, 0).entry().service, hosts, f.region(0));
        const int borrower = (lender + 1) % hosts;
        TestClient holder(f.io());
        co_await holdConnection(f, holder, borrower);
        auto client = co_await sendAhead(f, "QUERY gone1 WRITE item gone\r\n", borrower);
        const bool isQueued = co_await haveWaiting(f, lender, 1, milliseconds(1000));
        CHECK_TRUE(isQueued);
        co_await f.sleep(patience);
        client.reset();
        const bool hasLeft = co_await haveWaiting(f, lender, 0, noticeLimit);
        CHECK_TRUE(hasLeft);
        const auto committed = co_await holder.query("COMMIT");
        CHECK_TRUE(committed.isSuccess());
        // The lender is not taken for lost.
        const auto next = co_await holder.query("WRITE item next");
        CHECK_TRUE(next.isSuccess());
        CHECK_FALSE(hasRun(f, "gone1"));
    }(fixture));
}

// Guards against clients that send their last statement, close the sending direction, and get no answer.
TEST(Disconnect, AHalfClosedClientGetsItsAnswer)
{
    PoolerFixture fixture(oneConnection());
    fixture.run([](PoolerFixture& f) -> Task<void> {
        TestClient holder(f.io());
        co_await holdConnection(f, holder);
        auto client = co_await sendAhead(f, "QUERY half1 WRITE item half\r\nQUERY half2 READ item\r\n");
        client->shutdownSend();
        co_await f.sleep(patience);
        const bool isQueued = co_await haveWaiting(f, 0, 1, milliseconds(100));
        CHECK_TRUE(isQueued);
        const auto committed = co_await holder.query("COMMIT");
        CHECK_TRUE(committed.isSuccess());
        std::vector<std::string> lines;
        std::string_view line;
        while (co_await client->readLine(line, BootClock::now() + milliseconds(1000)) == ChannelStatus::Ok)
            lines.emplace_back(line);
        CHECK_TRUE(std::ranges::find(lines, "ROW half") != lines.end());
        CHECK_TRUE(hasRun(f, "half1"));
    }(fixture));
}

// Guards against a transaction that keeps its locks and its connection after its client has disconnected.
TEST(Disconnect, TheOpenTransactionOfADisconnectedClientIsRolledBackAtOnce)
{
    PoolerFixture fixture(oneConnection());
    fixture.run([](PoolerFixture& f) -> Task<void> {
        TestClient holder(f.io());
        co_await holdConnection(f, holder);
        TestClient other(f.io());
        co_await other.start(f.clientAddress(), database);
        const auto since = BootClock::now();
        holder.close();
        const auto read = co_await other.query("READ item");
        CHECK_TRUE(read.isSuccess());
        STRCMP_EQUAL("first", read.rows.at(0).c_str());
        CHECK_TRUE(BootClock::now() - since < noticeLimit);
    }(fixture));
}
