#include "ConnectionSimulation.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Deployment A: 807 operations a second on 8 services, each with a lender in 3 regions.
constexpr double usualRate = 807.0 / 8 / 3;
constexpr milliseconds meanHold { 60 };

/// New connections a request if the rates were known and each account had one connection for reads, on one of the
/// replicas, and one on the primary, as far as these suffice.
double idealOpenedPerRequest()
{
    const auto rates = ConnectionSimulation::usualRates(1.0);
    const auto withoutConnection = [&](int connections) { return std::accumulate(rates.begin() + connections, rates.end(), 0.0); };
    constexpr int onReplicas = (ConnectionSimulation::endpoints - 1) * ConnectionSimulation::share;
    return ConnectionSimulation::readFraction * withoutConnection(onReplicas) + (1.0 - ConnectionSimulation::readFraction) * withoutConnection(ConnectionSimulation::share);
}

} // namespace

/// Each test compares with the simple policy of closing the connection that was idle for the longest time.
TEST_GROUP(ConnectionCache)
{
    ConnectionSimulation byUse { ConnectionSimulation::Policy::ByUse };
    ConnectionSimulation oldestFirst { ConnectionSimulation::Policy::OldestFirst };
    const std::vector<double> usual = ConnectionSimulation::usualRates(usualRate);

    void send(const std::vector<double>& rates, seconds duration, milliseconds hold = meanHold)
    {
        for (auto* simulation : { &byUse, &oldestFirst }) {
            simulation->resetCounts();
            simulation->run(rates, duration, hold);
        }
    }
};

// Load: many small accounts. 86 accounts, the n-th with traffic proportional to n^-1.2, share 14 connections to each of 3
// endpoints. Guards against connections of frequent accounts that are closed for accounts which return much later. The
// bounds: at most half again as many new connections as with known rates, and a third fewer than the simple policy.
TEST(ConnectionCache, ManySmallAccountsReuseTheirConnections)
{
    send(usual, seconds(60));
    send(usual, seconds(300));
    CHECK_TRUE(byUse.openedPerRequest() < 1.5 * idealOpenedPerRequest());
    CHECK_TRUE(byUse.openedPerRequest() < oldestFirst.openedPerRequest() * 2 / 3);
    CHECK_TRUE(byUse.mostHeld() <= ConnectionSimulation::share);
}

// Load: one hot account sends 7.5 times its usual traffic for 8 s, ten times, and connections are held twice as long
// meanwhile. Guards against a burst that displaces the connections of the others: during it and in the 20 s after it, less
// than a tenth more of their requests open a connection than in calm conditions, and fewer than with the simple policy.
TEST(ConnectionCache, OneHotAccountLeavesTheConnectionsOfTheOthers)
{
    send(usual, seconds(60));
    send(usual, seconds(300));
    const double calm = byUse.othersOpenedPerRequest();
    auto hot = usual;
    hot[0] *= 7.5;
    double during = 0;
    double after = 0;
    double simplePolicyDuring = 0;
    constexpr int bursts = 10;
    for (int n = 0; n < bursts; ++n) {
        send(hot, seconds(8), 2 * meanHold);
        during += byUse.othersOpenedPerRequest() / bursts;
        simplePolicyDuring += oldestFirst.othersOpenedPerRequest() / bursts;
        send(usual, seconds(20));
        after += byUse.othersOpenedPerRequest() / bursts;
        send(usual, seconds(20));
    }
    const auto figures = StringFromFormat("calm %.3f, during bursts %.3f (simple policy %.3f), after %.3f", calm, during, simplePolicyDuring, after);
    CHECK_TRUE_TEXT(during < calm + 0.1, figures.asCharString());
    CHECK_TRUE_TEXT(after < calm + 0.1, figures.asCharString());
    CHECK_TRUE_TEXT(during < simplePolicyDuring, figures.asCharString());
}

// Load: the accounts of a service change; the largest become the smallest and the other way round. Guards against
// connections that are kept for accounts which no longer send: from 30 s after the change on, which are two half-lives of
// the averages, the bound of the usual traffic holds again.
TEST(ConnectionCache, ChangedAccountsObtainTheConnections)
{
    send(usual, seconds(120));
    auto changed = usual;
    std::ranges::reverse(changed);
    send(changed, seconds(30));
    CHECK_TRUE(byUse.openedPerRequest() < oldestFirst.openedPerRequest() * 1.1);
    send(changed, seconds(120));
    CHECK_TRUE(byUse.openedPerRequest() < 1.5 * idealOpenedPerRequest());
}

// Load: few accounts, more requests than one endpoint has connections for. Guards against reads that stay on one replica
// because the account's connections are there, while requests are refused or the other replica is unused.
TEST(ConnectionCache, FewAccountsSpreadOverTheReplicas)
{
    send({ 100.0, 20.0 }, seconds(60), milliseconds(120));
    for (int account = 0; account < 2; ++account)
        CHECK_TRUE(byUse.endpointsOf(account) >= 2);
    CHECK_TRUE(byUse.refusedPerRequest() <= oldestFirst.refusedPerRequest() + 0.01);
    CHECK_TRUE(byUse.openedPerRequest() <= oldestFirst.openedPerRequest() + 0.01);
}

// Guards against a hot account that keeps more than its share of the connections while another account needs one: its
// idle connections are closed before any other, although they are used more often.
TEST(ConnectionCache, AccountsAboveTheirShareGiveUpConnectionsFirst)
{
    ConnectionCache cache;
    const BootTime now(std::chrono::hours(1));
    const int limit = 4;
    for (int n = 0; n < 3; ++n) {
        cache.recordUse("hot", now);
        cache.recordHold("hot", seconds(30), now);
        cache.addIdle("hot");
    }
    cache.addIdle("small");
    const std::vector<ConnectionCache::Idle> idle { { "small", now }, { "hot", now }, { "hot", now }, { "hot", now } };
    auto choice = cache.chooseReplaced("new", idle, limit, now);
    LONGS_EQUAL(1, choice->index);
    CHECK_TRUE(choice->isAboveShare);
    // Within its share, the more frequently used one stays.
    cache.removeIdle("hot");
    choice = cache.chooseReplaced("new", std::span(idle).first(3), limit, now);
    LONGS_EQUAL(0, choice->index);
    CHECK_FALSE(cache.chooseReplaced("hot", std::span(idle).subspan(1), limit, now));
}

// Guards against records that are kept for accounts which no longer exist, and against connections that are not counted
// while they are being opened.
TEST(ConnectionCache, RecordsEndWithTheirUse)
{
    ConnectionCache cache;
    const BootTime now(std::chrono::hours(1));
    cache.recordUse("a", now);
    cache.addInUse("a");
    LONGS_EQUAL(1, cache.held());
    cache.forgetUnused(now + seconds(1000));
    LONGS_EQUAL(1, cache.recordedAccounts());
    cache.removeInUse("a");
    cache.forgetUnused(now + seconds(1));
    LONGS_EQUAL(1, cache.recordedAccounts());
    cache.forgetUnused(now + seconds(1000));
    LONGS_EQUAL(0, cache.recordedAccounts());
    CHECK_FALSE(cache.hasAccounts());
}
