#include "PoolerFixture.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

using namespace kumquatbank;
using std::chrono::milliseconds;

namespace {

const std::string primaryDb = EmulatedPlatform::databaseName(0, ReadPolicy::Primary);

/// Bound on the writes of one client, far above what a test makes.
constexpr int maxWrites = 100'000;

/// In which replicas have to receive again once the platform and the primary can be reached: the time in which the users
/// expect service after a failure.
constexpr std::chrono::seconds resumeLimit { 12 };

/// Fails the test if two hosts used one token, or if the accepted tokens of a service decreased.
void checkTokens(const EmulatedPlatform& platform)
{
    std::map<std::uint64_t, std::string> holders;
    for (const auto& order : platform.promotions()) {
        const auto [it, isNew] = holders.emplace(order.token, order.holder);
        CHECK_TRUE_TEXT(it->second == order.holder, "two hosts promoted with one token");
    }
}

/// A service whose commits are acknowledged once a replica has received them.
EmulatedPlatform::Shape synchronousShape()
{
    EmulatedPlatform::Shape shape;
    shape.syncReplicas = 1;
    return shape;
}

/// Lets a test wait a second instead of ten until a host knows the members of a service.
void shortenRetention(PoolerSettings& settings) { settings.memberRetention = milliseconds(1000); }

/// Clients that write through hosts until stop(), and the statements that were acknowledged to them.
class Writers {
public:
    Writers(PoolerFixture& fixture, std::vector<int> hosts)
        : m_fixture(fixture)
    {
        for (const int host : hosts)
            asio::co_spawn(fixture.io(), write(host), asio::detached);
        m_running = static_cast<int>(hosts.size());
    }

    Task<void> stop()
    {
        m_isStopping = true;
        while (m_running > 0)
            co_await m_fixture.sleep(milliseconds(10));
    }

    std::size_t acknowledged() const { return m_acknowledged.size(); }

    /// Fails the test if the log of the present primary lacks an acknowledged write.
    void checkNoneLost() const
    {
        const auto& kept = m_fixture.platform().service(0).survivingCommits();
        for (const auto& id : m_acknowledged)
            CHECK_TRUE_TEXT(std::ranges::find(kept, id, &LoggedCommit::statementId) != kept.end(), ("acknowledged write " + id + " was lost").c_str());
    }

private:
    Task<void> write(int host)
    {
        for (int n = 0; n < maxWrites && !m_isStopping; ++n) {
            TestClient client(m_fixture.io());
            const auto started = co_await client.start(m_fixture.clientAddress(host), primaryDb);
            while (!m_isStopping && !started.ready.empty()) {
                const auto text = fmt::format("WRITE item-{} x", host);
                const auto answer = co_await client.query(text);
                if (answer.isSuccess())
                    m_acknowledged.push_back(client.lastId());
                if (answer.ready.empty())
                    break;
                co_await m_fixture.sleep(milliseconds(5));
            }
            co_await m_fixture.sleep(milliseconds(20));
        }
        --m_running;
    }

    PoolerFixture& m_fixture;
    std::vector<std::string> m_acknowledged;
    bool m_isStopping = false;
    int m_running = 0;
};

/// The primary crashes while one replica receives nothing and the other one is about to leave.
void crashBesideDeafAndLeavingReplica(bool refusesPause)
{
    PoolerFixture fixture(synchronousShape(), 3, 3, true, 1, shortenRetention);
    for (int n = 0; n < 3; ++n)
        fixture.platform().database(0, n).behaviour().refusesPause = refusesPause;
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.sleep(milliseconds(1700));
        Writers writers(f, { 0, 1, 2 });
        f.platform().announce(f.platform().database(0, 2), true);
        co_await f.sleep(milliseconds(300));
        f.platform().service(0).log("i-0-1").isDeaf = true;
        co_await f.sleep(milliseconds(500));
        CHECK_TRUE(writers.acknowledged() > 20);
        f.platform().primary(0).crash();
        while (f.platform().service(0).primary().empty())
            co_await f.sleep(milliseconds(20));
        STRCMP_EQUAL("i-0-2", f.platform().service(0).primary().c_str());
        // Once the other replica has caught up, the leaving one hands over to it.
        f.platform().service(0).log("i-0-1").isDeaf = false;
        f.platform().service(0).catchUp("i-0-1");
        while (f.platform().service(0).primary() != "i-0-1")
            co_await f.sleep(milliseconds(20));
        co_await f.writeUntilSuccess(primaryDb, "WRITE other after");
        co_await writers.stop();
        writers.checkNoneLost();
    }(fixture));
    LONGS_EQUAL(0, fixture.platform().violations().size());
    checkTokens(fixture.platform());
}

} // namespace

TEST_GROUP(Promotion) {};

TEST(Promotion, ACrashedPrimaryIsReplacedOnceByTheNewestReplica)
{
    PoolerFixture fixture({}, 3);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.sleep(milliseconds(1700));
        co_await f.writeUntilSuccess(primaryDb, "WRITE item before");
        f.platform().service(0).log("i-0-1").isDeaf = true;
        co_await f.writeUntilSuccess(primaryDb, "WRITE item newest");
        f.platform().primary(0).crash();
        co_await f.writeUntilSuccess(primaryDb, "WRITE other after");
        TestClient client(f.io());
        co_await client.start(f.clientAddress(1), primaryDb);
        const auto read = co_await client.query("READ item");
        STRCMP_EQUAL("newest", read.rows.at(0).c_str());
    }(fixture));
    STRCMP_EQUAL("i-0-2", fixture.platform().service(0).primary().c_str());
    LONGS_EQUAL(1, std::ranges::count(fixture.platform().promotions(), 200, &OrderedPromotion::status));
    checkTokens(fixture.platform());
}

// Guards against a host that is partitioned from a healthy primary and replaces it on its own.
TEST(Promotion, APrimaryThatPeersReachIsNotReplaced)
{
    PoolerFixture fixture({}, 3);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.sleep(milliseconds(1700));
        co_await f.writeUntilSuccess(primaryDb, "WRITE item x", 0);
        co_await f.sleep(milliseconds(3000));
    }(fixture));
    LONGS_EQUAL(0, fixture.platform().promotions().size());
}

// Guards against acknowledged writes that are lost when a primary is replaced as planned.
TEST(Promotion, APlannedReplacementLosesNoAcknowledgedWrite)
{
    EmulatedPlatform::Shape shape;
    shape.lag = milliseconds(40);
    PoolerFixture fixture(shape, 2);
    std::vector<std::string> acknowledged;
    fixture.run([](PoolerFixture& f, std::vector<std::string>& written) -> Task<void> {
        co_await f.sleep(milliseconds(1700));
        const auto isDone = std::make_shared<bool>(false);
        const auto work = [&, isDone]() -> Task<void> {
            TestClient client(f.io());
            co_await client.start(f.clientAddress(0), primaryDb);
            for (int n = 0; n < maxWrites && !*isDone; ++n) {
                const auto write = fmt::format("WRITE item-{} x", n);
                const auto answer = co_await client.query(write);
                if (answer.isSuccess())
                    written.push_back(client.lastId());
                co_await f.sleep(milliseconds(2));
            }
        };
        asio::co_spawn(f.io(), work(), asio::detached);
        co_await f.sleep(milliseconds(300));
        f.platform().announce(f.platform().primary(0), true);
        while (f.platform().service(0).primary() == "i-0-0" || f.platform().service(0).primary().empty())
            co_await f.sleep(milliseconds(20));
        co_await f.sleep(milliseconds(500));
        *isDone = true;
        co_await f.sleep(milliseconds(100));
    }(fixture, acknowledged));
    CHECK_TRUE(acknowledged.size() > 20);
    const auto& kept = fixture.platform().service(0).survivingCommits();
    for (const auto& id : acknowledged)
        CHECK_TRUE_TEXT(std::ranges::find(kept, id, &LoggedCommit::statementId) != kept.end(), "an acknowledged write was lost");
    checkTokens(fixture.platform());
}

// Guards against a service without a primary while the store is down: the holder of the newest token may promote.
TEST(Promotion, TheHolderOfTheTokenPromotesWhileTheStoreIsDown)
{
    // Half of the endpoints have to answer, and two of them crash.
    EmulatedPlatform::Shape shape;
    shape.databasesPerService = 5;
    PoolerFixture fixture(shape, 1);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        f.platform().primary(0).crash();
        co_await f.writeUntilSuccess(primaryDb, "WRITE item one");
        f.platform().store().behaviour().isDown = true;
        co_await f.sleep(milliseconds(2300));
        f.platform().primary(0).crash();
        co_await f.writeUntilSuccess(primaryDb, "WRITE item two");
    }(fixture),
        std::chrono::seconds(30));
    checkTokens(fixture.platform());
}

// Guards against two hosts that promote with one token: the store accepts the write and its answer is lost.
TEST(Promotion, ALostStoreAnswerLeavesTheTokenUnique)
{
    PoolerFixture fixture({}, 3);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.sleep(milliseconds(1700));
        co_await f.writeUntilSuccess(primaryDb, "WRITE item before");
        f.platform().store().behaviour().answersToLose = 2;
        f.platform().primary(0).crash();
        co_await f.writeUntilSuccess(primaryDb, "WRITE item after");
    }(fixture),
        std::chrono::seconds(30));
    checkTokens(fixture.platform());
}

// Guards against a host that promotes with a token that another host holds: the answer to its write of the next token is
// lost, and the store goes down before it can read the object again.
TEST(Promotion, ATokenThatWasNotObtainedIsNotUsed)
{
    PoolerFixture fixture;
    fixture.run([](PoolerFixture& f) -> Task<void> {
        auto& store = f.platform().store();
        co_await f.writeUntilSuccess(primaryDb, "WRITE item before");
        store.put("kumquatbank-promotions", "service-0", { { "token", 7 }, { "holder", "host-9" }, { "run", 1 }, { "lost", "i-0-0" }, { "endpoint", "i-0-0" } });
        store.behaviour().answersToLose = 1;
        store.behaviour().goesDownAfterLostAnswers = true;
        f.platform().primary(0).crash();
        co_await f.sleep(milliseconds(4000));
        CHECK_TRUE(store.behaviour().isDown);
    }(fixture));
    LONGS_EQUAL(0, fixture.platform().promotions().size());
}

// Guards against a host that keeps querying an unresponsive primary while the store cannot report the new one.
TEST(Promotion, AHostWithoutTheStoreFindsTheNewPrimary)
{
    PoolerFixture fixture;
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.writeUntilSuccess(primaryDb, "WRITE item before");
        f.platform().store().behaviour().isDown = true;
        f.platform().database(0, 0).behaviour().isSilent = true;
        f.platform().service(0).promote("i-0-1");
        const auto from = BootClock::now();
        co_await f.writeUntilSuccess(primaryDb, "WRITE item after");
        // Required recovery time for a primary that is partitioned.
        CHECK_TRUE(BootClock::now() - from < std::chrono::seconds(5));
    }(fixture));
    LONGS_EQUAL(0, fixture.platform().promotions().size());
}

// Guards against a host that is partitioned from the store and all peers and replaces a healthy primary with an old
// token.
TEST(Promotion, AHostWithoutPeersAndStoreDoesNotReuseItsToken)
{
    PoolerFixture fixture;
    fixture.run([](PoolerFixture& f) -> Task<void> {
        f.platform().primary(0).crash();
        co_await f.writeUntilSuccess(primaryDb, "WRITE item before");
        // A peer that is listed and does not answer.
        f.platform().store().put("kumquatbank-hosts", "host-9", { { "peerAddress", "127.0.0.1:9" } });
        co_await f.sleep(milliseconds(6500));
        f.platform().store().behaviour().isDown = true;
        f.platform().primary(0).behaviour().isSilent = true;
        co_await f.sleep(milliseconds(4000));
    }(fixture));
    LONGS_EQUAL(1, std::ranges::count(fixture.platform().promotions(), 200, &OrderedPromotion::status));
}

// Guards against a failure that occurred when two replicas could not be reached: the endpoint that had been partitioned
// during an earlier promotion became primary again, with the commits that this promotion had rolled back.
TEST(Promotion, AnEndpointThatAnswersAloneIsNotMadePrimary)
{
    PoolerFixture fixture;
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.writeUntilSuccess(primaryDb, "WRITE item before");
        f.platform().service(0).log("i-0-0").isDeaf = true;
        f.platform().service(0).promote("i-0-1");
        f.platform().service(0).commit({ { "item", "newer" } }, "elsewhere");
        f.platform().database(0, 1).crash();
        f.platform().database(0, 2).behaviour().isSilent = true;
        co_await f.sleep(milliseconds(4000));
        LONGS_EQUAL(0, f.platform().promotions().size());
        f.platform().database(0, 2).behaviour().isSilent = false;
        co_await f.writeUntilSuccess(primaryDb, "WRITE other after");
        STRCMP_EQUAL("i-0-2", f.platform().service(0).primary().c_str());
    }(fixture));
}

// Guards against the promotion of a replica that stays but lacks acknowledged commits, in place of a leaving one that has
// them.
TEST(Promotion, ALeavingReplicaThatHasTheAcknowledgedCommitsIsPromoted) { crashBesideDeafAndLeavingReplica(false); }

TEST(Promotion, ALeavingReplicaIsPromotedWhereReplicasCannotBeStopped) { crashBesideDeafAndLeavingReplica(true); }

// Guards against the promotion of the replica that answers, while the silent one holds the newest acknowledged commits.
TEST(Promotion, NoReplicaIsPromotedWhileAnotherMayHaveNewerCommits)
{
    PoolerFixture fixture(synchronousShape(), 3, 3, true, 1, shortenRetention);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.sleep(milliseconds(1700));
        Writers writers(f, { 0, 1, 2 });
        f.platform().service(0).log("i-0-1").isDeaf = true;
        co_await f.sleep(milliseconds(500));
        f.platform().database(0, 2).behaviour().isSilent = true;
        f.platform().primary(0).crash();
        co_await f.sleep(milliseconds(4000));
        LONGS_EQUAL(0, f.platform().promotions().size());
        // Requests that cannot be served are refused at once, with the time to come back.
        TestClient client(f.io());
        co_await client.start(f.clientAddress(0), primaryDb);
        const auto from = BootClock::now();
        const auto refused = co_await client.query("WRITE item x");
        STRCMP_EQUAL("BUSY", refused.code().c_str());
        CHECK_TRUE(refused.result.find("retry after") != std::string::npos);
        CHECK_TRUE(BootClock::now() - from < milliseconds(100));
        f.platform().database(0, 2).behaviour().isSilent = false;
        while (f.platform().service(0).primary().empty())
            co_await f.sleep(milliseconds(20));
        f.platform().service(0).log("i-0-1").isDeaf = false;
        co_await f.writeUntilSuccess(primaryDb, "WRITE other after");
        co_await writers.stop();
        writers.checkNoneLost();
    }(fixture));
    STRCMP_EQUAL("i-0-2", fixture.platform().service(0).primary().c_str());
    LONGS_EQUAL(0, fixture.platform().violations().size());
}

// Guards against commits that a primary, which is cut off from most hosts, acknowledges to the others until it is replaced.
TEST(Promotion, APrimaryThatAFewHostsReachLosesNoAcknowledgedCommit)
{
    for (const bool refusesPause : { false, true }) {
        PoolerFixture fixture(synchronousShape(), 5, 3, false, 3, shortenRetention);
        for (int n = 0; n < 3; ++n)
            fixture.platform().database(0, n).behaviour().refusesPause = refusesPause;
        fixture.run([](PoolerFixture& f, bool isReplaced) -> Task<void> {
            co_await f.sleep(milliseconds(1700));
            Writers writers(f, { 0, 3, 4 });
            co_await f.sleep(milliseconds(300));
            f.platform().primary(0).behaviour().unheardHosts = { "host-0", "host-1", "host-2" };
            co_await f.sleep(milliseconds(4000));
            // Where replicas cannot be stopped, nothing stops the primary either.
            CHECK_EQUAL(isReplaced, f.platform().service(0).primary() != "i-0-0");
            f.platform().database(0, 0).behaviour().unheardHosts.clear();
            co_await f.writeUntilSuccess(primaryDb, "WRITE other after");
            co_await writers.stop();
            writers.checkNoneLost();
        }(fixture, !refusesPause));
        LONGS_EQUAL(0, fixture.platform().violations().size());
    }
}

// Guards against a service whose writes wait forever: the host that stopped its replicas ended before the promotion, and
// the primary is back.
TEST(Promotion, StoppedReplicasResumeIfThePrimaryStays)
{
    PoolerFixture fixture(synchronousShape(), 2, 3, true, 1, shortenRetention);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.writeUntilSuccess(primaryDb, "WRITE item before");
        f.platform().service(0).log("i-0-1").isPaused = true;
        f.platform().service(0).log("i-0-2").isPaused = true;
        co_await f.writeUntilSuccess(primaryDb, "WRITE item after");
    }(fixture),
        std::chrono::seconds(30));
    STRCMP_EQUAL("i-0-0", fixture.platform().service(0).primary().c_str());
    CHECK_FALSE(fixture.platform().service(0).log("i-0-1").isPaused);
    // The call that rules out older promotions names the present primary.
    CHECK_TRUE(fixture.platform().promotions().size() >= 1);
    CHECK_TRUE(std::ranges::all_of(fixture.platform().promotions(), [](const OrderedPromotion& order) { return order.endpoint == "i-0-0"; }));
    checkTokens(fixture.platform());
}

// Guards against replicas that stay stopped for good, after a promotion without an answer whose primary is back: the commits that
// nobody confirms hold all slots of the primary, so that it cannot be asked for its status.
TEST(Promotion, StalledCommitsDoNotKeepReplicasStopped)
{
    PoolerFixture fixture(synchronousShape(), 3, 3, true, 1, shortenRetention);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.sleep(milliseconds(1700));
        Writers writers(f, { 0, 0, 0, 1, 1, 1, 2, 2, 2 });
        co_await f.sleep(milliseconds(500));
        auto& primary = f.platform().primary(0);
        f.platform().promotionBehaviour().isSilent = true;
        primary.crash();
        co_await f.sleep(milliseconds(3000));
        CHECK_TRUE(f.platform().service(0).log("i-0-1").isPaused);
        primary.restart();
        f.platform().announce(primary, false);
        co_await f.sleep(milliseconds(4000));
        f.platform().promotionBehaviour().isSilent = false;
        const auto from = BootClock::now();
        const auto before = writers.acknowledged();
        while (writers.acknowledged() < before + 50)
            co_await f.sleep(milliseconds(20));
        CHECK_TRUE(BootClock::now() - from < resumeLimit);
        co_await writers.stop();
        writers.checkNoneLost();
    }(fixture),
        std::chrono::seconds(40));
    STRCMP_EQUAL("i-0-0", fixture.platform().service(0).primary().c_str());
    CHECK_FALSE(fixture.platform().service(0).log("i-0-1").isPaused);
    LONGS_EQUAL(0, fixture.platform().violations().size());
    checkTokens(fixture.platform());
}

// Guards against replicas that stay stopped because the primary accepts no connection: those of the stalled commits count, also
// of hosts that have ended, and the host that stopped the replicas is one of these.
TEST(Promotion, AFullPrimaryDoesNotKeepReplicasStopped)
{
    PoolerFixture fixture(synchronousShape(), 2, 3, true, 1, shortenRetention);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.writeUntilSuccess(primaryDb, "WRITE item before");
        for (const auto* id : { "i-0-1", "i-0-2" })
            f.platform().service(0).log(id).isPaused = true;
        f.platform().database(0, 0).behaviour().maxConnections = 0;
        // Hosts that have started since then have no connection to the primary.
        f.startHost(2);
        co_await f.waitUntilReady(2);
        const auto from = BootClock::now();
        Writers writers(f, { 0, 1, 2, 2, 2 });
        while (f.platform().service(0).log("i-0-1").isPaused)
            co_await f.sleep(milliseconds(20));
        CHECK_TRUE(BootClock::now() - from < resumeLimit);
        f.platform().database(0, 0).behaviour().maxConnections = 21;
        co_await f.writeUntilSuccess(primaryDb, "WRITE item after", 2);
        co_await writers.stop();
        writers.checkNoneLost();
    }(fixture),
        std::chrono::seconds(40));
    STRCMP_EQUAL("i-0-0", fixture.platform().service(0).primary().c_str());
}

// Guards against the same where clients write in transactions only: none gets as far as its COMMIT.
TEST(Promotion, TransactionsThatFindNoConnectionShowThatReplicasAreStopped)
{
    PoolerFixture fixture(synchronousShape(), 1, 3, true, 1, shortenRetention);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.sleep(milliseconds(1700));
        for (const auto* id : { "i-0-1", "i-0-2" })
            f.platform().service(0).log(id).isPaused = true;
        f.platform().database(0, 0).behaviour().maxConnections = 0;
        f.startHost(1);
        co_await f.waitUntilReady(1);
        const auto from = BootClock::now();
        while (f.platform().service(0).log("i-0-1").isPaused) {
            TestClient client(f.io());
            co_await client.start(f.clientAddress(1), primaryDb);
            co_await client.query("BEGIN");
            co_await client.query("WRITE item x");
            co_await f.sleep(milliseconds(50));
        }
        CHECK_TRUE(BootClock::now() - from < resumeLimit);
    }(fixture),
        std::chrono::seconds(40));
}

// Guards against a confirmed change that is lost: replicas resume while a promotion that got no answer may still be carried out.
TEST(Promotion, APromotionThatIsCarriedOutLateLosesNoAcknowledgedCommit)
{
    for (const int lateBy : { 300, 1500, 3500 }) {
        PoolerFixture fixture(synchronousShape(), 3, 3, true, 1, shortenRetention);
        fixture.run([](PoolerFixture& f, milliseconds late) -> Task<void> {
            co_await f.sleep(milliseconds(1700));
            Writers writers(f, { 0, 1, 2 });
            co_await f.sleep(milliseconds(300));
            auto& primary = f.platform().primary(0);
            f.platform().promotionBehaviour() = { true, late };
            primary.crash();
            co_await f.sleep(milliseconds(1600));
            primary.restart();
            f.platform().announce(primary, false);
            co_await f.sleep(milliseconds(700));
            f.platform().promotionBehaviour().isSilent = false;
            co_await f.sleep(milliseconds(6000));
            co_await f.writeUntilSuccess(primaryDb, "WRITE item after");
            co_await writers.stop();
            writers.checkNoneLost();
        }(fixture, milliseconds(lateBy)),
            std::chrono::seconds(40));
        LONGS_EQUAL(0, fixture.platform().violations().size());
        checkTokens(fixture.platform());
    }
}

// Guards against writes that wait until their time-out though it is known that nobody confirms them: while the platform does not
// answer the call that rules out older promotions, they are refused at once, and reads are served.
TEST(Promotion, WritesThatCannotBeConfirmedAreRefusedAtOnce)
{
    auto shape = synchronousShape();
    // Stalled commits leave slots, so that nothing but the missing confirmation delays a write.
    shape.slots = 40;
    shape.maxConnections = 80;
    PoolerFixture fixture(shape, 1, 3, true, 1, shortenRetention);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.writeUntilSuccess(primaryDb, "WRITE item before");
        f.platform().promotionBehaviour().isSilent = true;
        for (const auto* id : { "i-0-1", "i-0-2" })
            f.platform().service(0).log(id).isPaused = true;
        Writers writers(f, { 0, 0, 0 });
        co_await f.sleep(milliseconds(3500));
        int refused = 0;
        for (int n = 0; n < 20; ++n) {
            TestClient client(f.io());
            co_await client.start(f.clientAddress(0), primaryDb);
            const auto from = BootClock::now();
            const auto begun = co_await client.query("BEGIN");
            CHECK_TRUE(begun.isSuccess());
            const auto write = co_await client.query("WRITE item kept-never");
            auto committed = write;
            if (write.isSuccess())
                committed = co_await client.query("COMMIT");
            const bool isPromise = committed.code() == "BUSY" || committed.code() == "ABORTED";
            if (isPromise && committed.result.find("retry after") != std::string::npos && BootClock::now() - from < milliseconds(300))
                ++refused;
            co_await f.sleep(milliseconds(50));
        }
        CHECK_TRUE(refused >= 15);
        f.platform().promotionBehaviour().isSilent = false;
        co_await f.writeUntilSuccess(primaryDb, "WRITE item after");
        co_await writers.stop();
    }(fixture),
        std::chrono::seconds(40));
}

// Guards against a planned change that promotes a successor without the last commits: it stops receiving just before.
TEST(Promotion, AHandOverToASuccessorThatDoesNotCatchUpIsTakenBack)
{
    PoolerFixture fixture({}, 2);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.sleep(milliseconds(1700));
        Writers writers(f, { 0 });
        co_await f.sleep(milliseconds(300));
        for (const auto* id : { "i-0-1", "i-0-2" })
            f.platform().service(0).log(id).isDeaf = true;
        f.platform().announce(f.platform().primary(0), true);
        co_await f.sleep(milliseconds(2500));
        for (const auto* id : { "i-0-1", "i-0-2" }) {
            f.platform().service(0).log(id).isDeaf = false;
            f.platform().service(0).catchUp(id);
        }
        while (f.platform().service(0).primary() == "i-0-0" || f.platform().service(0).primary().empty())
            co_await f.sleep(milliseconds(20));
        co_await f.writeUntilSuccess(primaryDb, "WRITE other after");
        co_await writers.stop();
        writers.checkNoneLost();
    }(fixture));
    checkTokens(fixture.platform());
}

// Guards against requests at a leaving database after its time to serve, when it is the only one that answers.
TEST(Promotion, ALeavingDatabaseServesNoLongerThanItsTime)
{
    PoolerFixture fixture({}, 2, 3, true, 1, [](PoolerSettings& settings) { settings.databaseDrainTime = milliseconds(4000); });
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.sleep(milliseconds(1700));
        f.platform().database(0, 1).crash();
        f.platform().database(0, 2).crash();
        f.platform().announce(f.platform().primary(0), true);
        const auto from = BootClock::now();
        co_await f.writeUntilSuccess(primaryDb, "WRITE item in-time");
        while (BootClock::now() - from < milliseconds(4000))
            co_await f.sleep(milliseconds(50));
        const auto clientStatements = [&] { return std::ranges::count_if(f.platform().ran(), [](const RanStatement& ran) { return ran.id != "-"; }); };
        const auto before = clientStatements();
        TestClient client(f.io());
        co_await client.start(f.clientAddress(0), primaryDb);
        const auto refused = co_await client.query("WRITE item late");
        STRCMP_EQUAL("BUSY", refused.code().c_str());
        co_await f.sleep(milliseconds(1500));
        LONGS_EQUAL(before, clientStatements());
    }(fixture));
}
