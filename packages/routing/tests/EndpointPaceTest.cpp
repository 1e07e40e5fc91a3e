#include "ModelledDatabase.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;

namespace {

/// Requirement R9: full pace with waiting requests and quick answers within this time.
constexpr int fullPaceMs = 1000;
/// Share of a lender of one of three regions: 0.75 x 56 / 3.
constexpr int lenderShare = 14;
constexpr int lenders = 3;
constexpr int coldMs = 4000;
/// Three lenders with so many uses each hold the four slots of an endpoint.
constexpr int startingUses = 2;

/// Keeps requests waiting on every host.
int alwaysWaiting(int now) { return now % 2 == 0 ? 1 : 0; }
/// Answer time of a quick endpoint on which one host uses its full share.
int answerMsAtFullPace(int share) { return std::max(1, share / ModelledDatabase::slots) * ModelledDatabase::workMs; }
int oneEachSecond(int now) { return now % 1000 == 0 ? 1 : 0; }

} // namespace

TEST_GROUP(EndpointPace)
{
    std::minstd_rand random { 7 };

    /// Statements that are refused in the time of a cold start with waiting requests.
    static int refusedByColdEndpoint(int hosts, int share, double slowness, bool isPaced)
    {
        ModelledDatabase database(hosts, share, isPaced);
        database.slowness = [slowness](int now) { return now < coldMs ? slowness : 1.0; };
        database.demand = alwaysWaiting;
        database.run(coldMs);
        return database.refused();
    }

    std::function<bool(int)> withProbability(double share)
    {
        return [this, share](int) { return std::bernoulli_distribution(share)(random); };
    }
};

// Guards against three lenders that fill the queue of a cold endpoint with their full shares at once.
TEST(EndpointPace, AColdEndpointIsNotFlooded)
{
    for (const double slowness : { 1.6, 3.0, 8.0 }) {
        CHECK_TRUE(refusedByColdEndpoint(lenders, lenderShare, slowness, false) > 0);
        LONGS_EQUAL(0, refusedByColdEndpoint(lenders, lenderShare, slowness, true));
    }
}

// Guards against a rule that only suits one host or a few: shares shrink with the number of hosts.
TEST(EndpointPace, AColdEndpointIsNotFloodedByOneOrEightHosts)
{
    LONGS_EQUAL(0, refusedByColdEndpoint(1, 56, 8.0, true));
    LONGS_EQUAL(0, refusedByColdEndpoint(8, 7, 8.0, true));
    CHECK_TRUE(refusedByColdEndpoint(1, 56, 8.0, false) > 0);
    CHECK_TRUE(refusedByColdEndpoint(8, 7, 8.0, false) > 0);
}

// Guards against slots that stay free although requests wait, because the pace was reduced too far.
TEST(EndpointPace, AColdEndpointIsKeptBusy)
{
    ModelledDatabase database(1, 56, true);
    database.slowness = [](int) { return 8.0; };
    database.demand = alwaysWaiting;
    database.run(coldMs);
    CHECK_TRUE(database.idleSlotMs() < coldMs * ModelledDatabase::slots / 10);
}

// Guards against an endpoint that is left idle after its return although it answers quickly. Reads wait only while the
// peers are used up to the full share as well.
TEST(EndpointPace, ReachesTheFullPaceInTimeOnAQuickEndpoint)
{
    for (const int share : { 2, lenderShare }) {
        ModelledDatabase database(1, share, true);
        database.peerAnswerMs = answerMsAtFullPace(share);
        database.demand = alwaysWaiting;
        database.run(fullPaceMs);
        CHECK_TRUE(database.hosts().front().pacing.pace("e")->isFull());
        LONGS_EQUAL(0, database.refused());
    }
}

// Guards against a pace that stays low after the slow phase of an endpoint has ended.
TEST(EndpointPace, ReachesTheFullPaceInTimeAfterASlowPhase)
{
    ModelledDatabase database(1, lenderShare, true);
    database.peerAnswerMs = answerMsAtFullPace(lenderShare);
    database.slowness = [](int now) { return now < coldMs ? 8.0 : 1.0; };
    database.demand = alwaysWaiting;
    database.run(coldMs);
    CHECK_FALSE(database.hosts().front().pacing.pace("e")->isFull());
    database.run(fullPaceMs);
    CHECK_TRUE(database.hosts().front().pacing.pace("e")->isFull());
}

// Guards against a primary whose writes wait while slots are free: its replicas are idle and quicker, and the pace that
// keeps its answers as quick as theirs must still use all slots.
TEST(EndpointPace, AnEndpointWithIdlePeersIsKeptBusy)
{
    for (const int hosts : { 1, lenders }) {
        ModelledDatabase database(hosts, lenderShare, true);
        database.demand = alwaysWaiting;
        database.run(fullPaceMs);
        database.resetCounts();
        database.run(coldMs);
        LONGS_EQUAL(0, database.refused());
        CHECK_TRUE(database.idleSlotMs() < coldMs * ModelledDatabase::slots / 20);
    }
}

// Guards against a host with little traffic that would need many statements before it may send several at once.
TEST(EndpointPace, AHostWithOneStatementASecondIsServedAndReachesTheFullPace)
{
    ModelledDatabase database(1, lenderShare, true);
    database.slowness = [](int now) { return now < coldMs ? 8.0 : 1.0; };
    database.demand = oneEachSecond;
    database.run(10'000);
    LONGS_EQUAL(10, database.served());
    LONGS_EQUAL(0, database.hosts().front().longestWaitMs);
    database.peerAnswerMs = answerMsAtFullPace(lenderShare);
    database.demand = alwaysWaiting;
    database.run(fullPaceMs);
    CHECK_TRUE(database.hosts().front().pacing.pace("e")->isFull());
}

// Guards against a pace that failures reduce until a host with one statement a second has to wait.
TEST(EndpointPace, AHostWithOneStatementASecondIsServedByEveryKindOfEndpoint)
{
    const auto always = [](double factor) { return [factor](int) { return factor; }; };
    for (int kind = 0; kind < 4; ++kind) {
        ModelledDatabase database(1, lenderShare, true);
        database.demand = oneEachSecond;
        if (kind == 0)
            database.slowness = always(8.0);
        else if (kind == 1)
            database.slowness = [](int now) { return now / 700 % 2 == 0 ? 1.0 : 4.0; };
        else
            (kind == 2 ? database.hangs : database.fails) = withProbability(0.4);
        database.run(20'000);
        LONGS_EQUAL(20, database.served());
        LONGS_EQUAL(0, database.hosts().front().longestWaitMs);
    }
}

// Guards against hosts that are starved, or an endpoint that refuses more than before, with many hosts of little traffic
// each and a backlog from the time in which the endpoint was down.
TEST(EndpointPace, EightySevenHostsWithABacklogAreServed)
{
    constexpr int hosts = 87;
    std::array<int, 2> refused {};
    for (const bool isPaced : { false, true }) {
        ModelledDatabase database(hosts, 2, isPaced);
        database.slowness = [](int now) { return now < coldMs ? 8.0 : 1.0; };
        // A backlog of two requests a host, then the load of an endpoint of deployment A: 807 a second over 24 endpoints.
        const auto arrives = withProbability(807.0 / 24 / 1000 / hosts);
        database.demand = [&arrives](int now) { return now == 0 ? 2 : arrives(now) ? 1
                                                                                   : 0; };
        database.run(3 * coldMs);
        refused.at(isPaced ? 1 : 0) = database.refused();
        CHECK_TRUE(std::ranges::all_of(database.hosts(), [](const auto& host) { return host.served > 0; }));
    }
    CHECK_TRUE(refused[1] < refused[0]);
}

// Guards against a reduction that lasts, on an endpoint that fails or hangs part of its statements and answers the rest
// quickly; refusals because of this host's share would hide the other failures.
TEST(EndpointPace, FailingAndHangingEndpointsAreNotFloodedAndServeOn)
{
    for (const bool isHanging : { false, true }) {
        ModelledDatabase database(lenders, lenderShare, true);
        (isHanging ? database.hangs : database.fails) = withProbability(0.4);
        database.demand = alwaysWaiting;
        database.run(coldMs);
        LONGS_EQUAL(0, database.refused());
        CHECK_TRUE(std::ranges::all_of(database.hosts(), [](const auto& host) { return host.served > 0; }));
    }
}

// Guards against an endpoint that goes down and up and is met by the full share each time, or never gets it again.
TEST(EndpointPace, AFlappingEndpointStartsLowEachTime)
{
    ModelledDatabase database(lenders, lenderShare, true);
    database.demand = alwaysWaiting;
    for (int n = 0; n < 3; ++n) {
        database.crash();
        database.run(500);
        database.isDown = false;
        database.resetCounts();
        database.run(10);
        CHECK_TRUE(std::ranges::all_of(database.hosts(), [](const auto& host) { return host.mostInUse <= startingUses; }));
        database.run(1500);
        LONGS_EQUAL(0, database.refused());
        CHECK_TRUE(database.served() > 0);
    }
}

// Guards against a pace at which an uneven endpoint, alternately quick and slow, refuses or stands idle.
TEST(EndpointPace, AnUnevenEndpointIsKeptBusyAndNotFlooded)
{
    ModelledDatabase database(lenders, lenderShare, true);
    database.slowness = [](int now) { return now / 700 % 2 == 0 ? 1.0 : 4.0; };
    database.demand = alwaysWaiting;
    database.run(7000);
    LONGS_EQUAL(0, database.refused());
    CHECK_TRUE(database.idleSlotMs() < 7000 * ModelledDatabase::slots / 4);
}

// Guards against sessions that are idle inside transactions and hold all uses of a reduced pace, so that no answer could
// ever raise it.
TEST(EndpointPace, GrowsWhileAllUsesAreSilent)
{
    EndpointPace pace;
    pace.setBounds(lenderShare, 1);
    BootTime now(std::chrono::seconds(1000));
    pace.recordMissingAnswer(now);
    LONGS_EQUAL(1, pace.limit());
    for (int n = 0; n < 10; ++n)
        pace.advance(pace.limit(), true, now += std::chrono::milliseconds(100));
    CHECK_TRUE(pace.limit() > 1);
}

// Guards against one burst of refusals, or many answers missing after one crash, that are counted as many reductions.
TEST(EndpointPace, RefusalsOfOneRoundReduceOnce)
{
    EndpointPace pace;
    pace.setBounds(16, 16);
    const BootTime sentAt(std::chrono::seconds(1000));
    for (int n = 1; n <= 8; ++n)
        pace.recordRefusal(sentAt, sentAt + std::chrono::milliseconds(n));
    LONGS_EQUAL(8, pace.limit());
}
