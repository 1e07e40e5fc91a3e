#include "PoolerFixture.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

using namespace kumquatbank;
using std::chrono::milliseconds;

namespace {

const std::string primaryDb = EmulatedPlatform::databaseName(0, ReadPolicy::Primary);
const std::string boundedDb = EmulatedPlatform::databaseName(0, ReadPolicy::Bounded);

/// Grace period of the fixture's hosts.
constexpr milliseconds grace { 3000 };
/// Time until every host has listed the others.
constexpr milliseconds hostDiscoveryTime { 2000 };

bool refersToOtherHosts(const TestClient::Answer& answer) { return answer.result.find("the host is stopping") != std::string::npos; }

/// Clients that use their connections until the host has closed them, and what they got.
class StubbornClients {
public:
    StubbornClients(PoolerFixture& fixture, int host)
        : m_fixture(fixture)
        , m_host(host)
    {
    }

    /// Adds a client of single statements or of transactions with @p pause between two statements.
    void add(std::string database, bool usesTransactions, milliseconds pause)
    {
        ++m_running;
        asio::co_spawn(m_fixture.io(), use(std::move(database), usesTransactions, pause), asio::detached);
    }

    Task<void> wait()
    {
        while (m_running > 0)
            co_await m_fixture.sleep(milliseconds(10));
    }

    int answered() const { return m_answered; }
    int refused() const { return static_cast<int>(m_refused.size()); }

    /// Fails the test if a request that had been read got no answer, or if a refused write was kept.
    void check() const
    {
        LONGS_EQUAL(0, m_unanswered);
        const auto& kept = m_fixture.platform().service(0).survivingCommits();
        for (const auto& id : m_refused)
            CHECK_TRUE_TEXT(std::ranges::find(kept, id, &LoggedCommit::statementId) == kept.end(), ("refused write " + id + " is kept").c_str());
        for (const auto& id : m_acknowledged)
            CHECK_TRUE_TEXT(std::ranges::find(kept, id, &LoggedCommit::statementId) != kept.end(), ("acknowledged write " + id + " is lost").c_str());
    }

private:
    /// Returns false once the connection has ended.
    Task<bool> ask(TestClient& client, std::string text, bool commits)
    {
        const auto answer = co_await client.query(std::move(text));
        if (answer.ready.empty()) {
            // A request that crosses the end of the connection has not been read.
            const bool wasRead = std::ranges::any_of(m_fixture.platform().ran(), [&](const RanStatement& ran) { return ran.id == client.lastId(); });
            m_unanswered += wasRead ? 1 : 0;
            co_return false;
        }
        ++m_answered;
        if (answer.isSuccess() && commits)
            m_acknowledged.push_back(client.lastId());
        if (answer.code() == "BUSY" || answer.code() == "ABORTED")
            m_refused.push_back(client.lastId());
        co_return true;
    }

    Task<void> use(std::string database, bool usesTransactions, milliseconds pause)
    {
        TestClient client(m_fixture.io());
        const auto started = co_await client.start(m_fixture.clientAddress(m_host), std::move(database));
        bool isOpen = !started.ready.empty();
        while (isOpen) {
            if (usesTransactions)
                isOpen = co_await ask(client, "BEGIN", false);
            for (int n = 0; n < 4 && isOpen; ++n) {
                co_await m_fixture.sleep(pause);
                isOpen = co_await ask(client, "WRITE item x", !usesTransactions);
            }
            if (usesTransactions && isOpen)
                isOpen = co_await ask(client, "COMMIT", true);
        }
        --m_running;
    }

    PoolerFixture& m_fixture;
    int m_host;
    int m_running = 0;
    int m_answered = 0;
    int m_unanswered = 0;
    std::vector<std::string> m_refused;
    std::vector<std::string> m_acknowledged;
};

} // namespace

TEST_GROUP(Stop) {};

// Guards against transactions that a stopping host begins and cuts at its end.
TEST(Stop, ATransactionThatBeginsWhileTheHostStopsIsRefused)
{
    PoolerFixture fixture;
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.writeUntilSuccess(primaryDb, "WRITE item before");
        TestClient client(f.io());
        co_await client.start(f.clientAddress(), boundedDb);
        asio::co_spawn(f.io(), f.process(0).drain(), asio::detached);
        co_await f.sleep(milliseconds(300));
        const auto refused = co_await client.query("BEGIN READ");
        STRCMP_EQUAL("BUSY", refused.code().c_str());
        CHECK_TRUE(refersToOtherHosts(refused));
        CHECK_TRUE(refused.result.find("retry after") != std::string::npos);
        BYTES_EQUAL('I', refused.state());
    }(fixture));
}

// Guards against statements that are cut when the process ends: single ones, those of transactions and commits, each after
// the other on open connections until these are closed.
TEST(Stop, EveryRequestThatIsReadGetsACompleteAnswer)
{
    EmulatedPlatform::Shape shape;
    shape.work = milliseconds(60);
    shape.slots = 6;
    PoolerFixture fixture(shape, 2);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.sleep(hostDiscoveryTime);
        StubbornClients clients(f, 0);
        for (int n = 0; n < 4; ++n) {
            clients.add(primaryDb, false, milliseconds(20 * n));
            clients.add(primaryDb, true, milliseconds(30 * n));
            clients.add(primaryDb, true, milliseconds(400 + 100 * n));
        }
        co_await f.sleep(milliseconds(500));
        const auto from = BootClock::now();
        co_await f.process(0).drain();
        CHECK_TRUE(BootClock::now() - from < grace);
        co_await clients.wait();
        clients.check();
        CHECK_TRUE(clients.answered() > 50);
        CHECK_TRUE(clients.refused() > 0);
    }(fixture));
    fixture.checkTransactions();
}

// Guards against a stop that waits for an idle transaction until its end and then cuts it without a word.
TEST(Stop, AnIdleTransactionIsAbortedBeforeTheEnd)
{
    PoolerFixture fixture;
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.writeUntilSuccess(primaryDb, "WRITE item before");
        TestClient client(f.io());
        co_await client.start(f.clientAddress(), primaryDb);
        co_await client.query("BEGIN");
        co_await client.query("WRITE item in-transaction");
        const auto write = client.lastId();
        asio::co_spawn(f.io(), f.process(0).drain(), asio::detached);
        // Within the first half of the grace period it goes on.
        co_await f.sleep(milliseconds(700));
        const auto served = co_await client.query("WRITE item more");
        CHECK_TRUE(served.isSuccess());
        co_await f.sleep(milliseconds(1000));
        const auto aborted = co_await client.query("COMMIT");
        STRCMP_EQUAL("ABORTED", aborted.code().c_str());
        CHECK_TRUE(refersToOtherHosts(aborted));
        const auto& kept = f.platform().service(0).survivingCommits();
        CHECK_TRUE(std::ranges::find(kept, client.lastId(), &LoggedCommit::statementId) == kept.end());
    }(fixture));
}

// Guards against a statement whose timeout is longer than the grace period and that gets no answer at the end.
TEST(Stop, AStatementThatOutlastsTheHostIsAnsweredInDoubt)
{
    PoolerFixture fixture;
    fixture.run([](PoolerFixture& f) -> Task<void> {
        for (auto& [name, route] : f.platform().config().routes)
            route.statementTimeout = std::chrono::seconds(20);
        f.platform().putConfig();
        co_await f.sleep(hostDiscoveryTime);
        co_await f.writeUntilSuccess(primaryDb, "WRITE item before");
        f.platform().primary(0).behaviour().work = std::chrono::seconds(6);
        TestClient writer(f.io());
        TestClient reader(f.io());
        co_await writer.start(f.clientAddress(), primaryDb);
        co_await reader.start(f.clientAddress(), primaryDb);
        const auto from = BootClock::now();
        asio::co_spawn(f.io(), f.process(0).drain(), asio::detached);
        TestClient::Answer read;
        const auto readOne = [&]() -> Task<void> { read = co_await reader.query("READ item"); };
        asio::co_spawn(f.io(), readOne(), asio::detached);
        const auto written = co_await writer.query("WRITE item x");
        CHECK_TRUE(BootClock::now() - from < grace);
        CHECK_TRUE_TEXT(written.code() == "INDOUBT" || written.code() == "TIMEOUT", written.result.c_str());
        BYTES_EQUAL('I', written.state());
        co_await f.sleep(milliseconds(100));
        // A read keeps nothing, so that it may also be refused after its first attempt.
        CHECK_TRUE(read.code() == "TIMEOUT" || read.code() == "BUSY");
    }(fixture));
}

// Guards against a borrower whose transaction is cut in a statement because the lender ends: an idle loan ends before, and
// the next statement is told that nothing is kept.
TEST(Stop, ALoanThatIsIdleWhenItsLenderStopsEndsWithAPromise)
{
    constexpr int hosts = 6;
    EmulatedPlatform::Shape shape;
    shape.maxConnections = 4;
    PoolerFixture fixture(shape, hosts, 1);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.sleep(hostDiscoveryTime);
        const int lender = f.holder(f.platform().service(0).name(), hosts, "region");
        TestClient client(f.io());
        co_await client.start(f.clientAddress((lender + 1) % hosts), primaryDb);
        co_await client.query("BEGIN");
        const auto written = co_await client.query("WRITE item borrowed");
        CHECK_TRUE(written.isSuccess());
        asio::co_spawn(f.io(), f.process(lender).drain(), asio::detached);
        co_await f.sleep(milliseconds(700));
        const auto served = co_await client.query("WRITE item still");
        CHECK_TRUE(served.isSuccess());
        co_await f.sleep(milliseconds(1200));
        const auto aborted = co_await client.query("COMMIT");
        STRCMP_EQUAL("ABORTED", aborted.code().c_str());
        const auto& kept = f.platform().service(0).survivingCommits();
        CHECK_TRUE(std::ranges::find(kept, client.lastId(), &LoggedCommit::statementId) == kept.end());
        // Other hosts lend meanwhile.
        co_await f.writeUntilSuccess(primaryDb, "WRITE item after", (lender + 1) % hosts);
    }(fixture));
}

// Guards against a request that a stopping host reads and drops because it has already ended its side of the session: a
// client that does not look for the end of its connection sends it some time after the last answer.
TEST(Stop, ARequestAfterTheLastAnswerIsAnswered)
{
    PoolerFixture fixture;
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.writeUntilSuccess(primaryDb, "WRITE item before");
        TestClient client(f.io());
        co_await client.start(f.clientAddress(), primaryDb);
        asio::co_spawn(f.io(), f.process(0).drain(), asio::detached);
        co_await f.sleep(milliseconds(100));
        const auto first = co_await client.query("WRITE item first");
        CHECK_TRUE(first.isSuccess());
        co_await f.sleep(milliseconds(100));
        const auto second = co_await client.query("WRITE item second");
        CHECK_TRUE(second.isSuccess());
        BYTES_EQUAL('I', second.state());
        const auto begin = co_await client.query("BEGIN");
        STRCMP_EQUAL("BUSY", begin.code().c_str());
        co_await f.sleep(milliseconds(200));
        // The close was announced after the refusal.
        const auto refused = co_await client.query("WRITE item refused");
        STRCMP_EQUAL("BUSY", refused.code().c_str());
        CHECK_TRUE(refersToOtherHosts(refused));
        BYTES_EQUAL('I', refused.state());
        const auto& kept = f.platform().service(0).survivingCommits();
        CHECK_TRUE(std::ranges::find(kept, client.lastId(), &LoggedCommit::statementId) == kept.end());
    }(fixture));
}

// Guards against the same for a session that was idle at the stop and that the host ends after a third of the grace period.
TEST(Stop, ARequestOnAnIdleSessionThatIsBeingClosedIsAnsweredAsNotRun)
{
    PoolerFixture fixture;
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.writeUntilSuccess(primaryDb, "WRITE item before");
        TestClient client(f.io());
        co_await client.start(f.clientAddress(), primaryDb);
        asio::co_spawn(f.io(), f.process(0).drain(), asio::detached);
        co_await f.sleep(grace / 3 + milliseconds(100));
        const auto refused = co_await client.query("WRITE item refused");
        STRCMP_EQUAL("BUSY", refused.code().c_str());
        CHECK_TRUE(refersToOtherHosts(refused));
        BYTES_EQUAL('I', refused.state());
    }(fixture));
}

// Guards against requests that were sent together with one that has no result when the host ends, and that get no answer.
TEST(Stop, RequestsBehindAnUnfinishedOneAreAnswered)
{
    PoolerFixture fixture;
    fixture.run([](PoolerFixture& f) -> Task<void> {
        for (auto& [name, route] : f.platform().config().routes)
            route.statementTimeout = std::chrono::seconds(20);
        f.platform().putConfig();
        co_await f.sleep(hostDiscoveryTime);
        co_await f.writeUntilSuccess(primaryDb, "WRITE item before");
        f.platform().primary(0).behaviour().work = std::chrono::seconds(6);
        TestClient client(f.io());
        co_await client.start(f.clientAddress(), primaryDb);
        const auto drainSoon = [&]() -> Task<void> {
            co_await f.sleep(milliseconds(200));
            co_await f.process(0).drain();
        };
        asio::co_spawn(f.io(), drainSoon(), asio::detached);
        const auto first = co_await client.sendRaw("QUERY a1 WRITE item x\r\nQUERY a2 WRITE item y\r\nQUERY a3 READ item\r\n");
        CHECK_TRUE_TEXT(first.code() == "INDOUBT" || first.code() == "TIMEOUT", first.result.c_str());
        for (int n = 0; n < 2; ++n) {
            const auto behind = co_await client.receive();
            STRCMP_EQUAL("BUSY", behind.code().c_str());
            CHECK_TRUE(refersToOtherHosts(behind));
            BYTES_EQUAL('I', behind.state());
        }
    }(fixture));
}

// Guards against a client that waits for a configuration until the host ends, although the host will not serve it.
TEST(Stop, ASessionThatWaitsForAConfigurationIsRefusedAtOnce)
{
    PoolerFixture fixture;
    fixture.run([](PoolerFixture& f) -> Task<void> {
        f.platform().store().behaviour().isDown = true;
        f.startHost(1);
        TestClient client(f.io());
        const auto drainSoon = [&]() -> Task<void> {
            co_await f.sleep(milliseconds(200));
            co_await f.process(1).drain();
        };
        asio::co_spawn(f.io(), drainSoon(), asio::detached);
        const auto from = BootClock::now();
        const auto refused = co_await client.start(f.clientAddress(1), primaryDb);
        STRCMP_EQUAL("BUSY", refused.code().c_str());
        CHECK_TRUE(BootClock::now() - from < milliseconds(1000));
    }(fixture));
}

// Guards against a session that a host accepts though it closes idle sessions already: its first request would cross the
// close.
TEST(Stop, ANewSessionIsRefusedOnceIdleOnesAreClosed)
{
    PoolerFixture fixture;
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.writeUntilSuccess(primaryDb, "WRITE item before");
        TestClient held(f.io());
        co_await held.start(f.clientAddress(), primaryDb);
        co_await held.query("BEGIN");
        asio::co_spawn(f.io(), f.process(0).drain(), asio::detached);
        co_await f.sleep(grace / 3 + milliseconds(100));
        TestClient client(f.io());
        const auto refused = co_await client.start(f.clientAddress(), primaryDb);
        STRCMP_EQUAL("BUSY", refused.code().c_str());
        CHECK_TRUE(refersToOtherHosts(refused));
    }(fixture));
}

// Guards against a host that ends right after it has announced the close of a session, while a request is on its way.
TEST(Stop, ARequestThatCrossesALateAnnouncementIsAnswered)
{
    PoolerFixture fixture;
    fixture.run([](PoolerFixture& f) -> Task<void> {
        for (auto& [name, route] : f.platform().config().routes)
            route.statementTimeout = std::chrono::seconds(3);
        f.platform().putConfig();
        co_await f.sleep(hostDiscoveryTime);
        co_await f.writeUntilSuccess(primaryDb, "WRITE item before");
        TestClient client(f.io());
        co_await client.start(f.clientAddress(), primaryDb);
        const auto from = BootClock::now();
        const auto ended = std::make_shared<bool>(false);
        const auto drainNow = [&f, ended]() -> Task<void> {
            co_await f.process(0).drain();
            *ended = true;
        };
        asio::co_spawn(f.io(), drainNow(), asio::detached);
        co_await f.sleep(grace / 3 - milliseconds(100));
        f.platform().primary(0).behaviour().work = milliseconds(1360);
        const auto last = co_await client.query("WRITE item last");
        CHECK_TRUE_TEXT(last.isSuccess(), last.result.c_str());
        co_await f.sleep(milliseconds(100));
        const auto refused = co_await client.query("WRITE item refused");
        STRCMP_EQUAL("BUSY", refused.code().c_str());
        BYTES_EQUAL('I', refused.state());
        while (!*ended)
            co_await f.sleep(milliseconds(10));
        CHECK_TRUE(BootClock::now() - from < grace);
    }(fixture));
}
