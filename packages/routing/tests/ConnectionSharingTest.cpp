#include "kumquatbank/routing/ConnectionSharing.h"

#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;

TEST_GROUP(ConnectionSharing) {};

TEST(ConnectionSharing, SufficientConnectionsAreSplitEvenly)
{
    const ConnectionSharing sharing(21, 8);
    CHECK_FALSE(sharing.isScarce());
    LONGS_EQUAL(2, sharing.share());
}

// Guards against a new connection for every statement before this host has the list of hosts.
TEST(ConnectionSharing, UnknownHostCountGivesOneConnection)
{
    const auto sharing = ConnectionSharing(46, ConnectionSharing::unknownHostCount);
    CHECK_FALSE(sharing.isScarce());
    LONGS_EQUAL(1, sharing.share());
}

// Guards against lenders that together hold more connections than the endpoint accepts and leave none for probes.
TEST(ConnectionSharing, LendersLeaveConnectionsForOtherHosts)
{
    const ConnectionSharing sharing(46, 58, 3);
    CHECK_TRUE(sharing.isLent());
    LONGS_EQUAL(11, sharing.share());
    // At least one connection in five remains for hosts that reach no lender.
    CHECK_TRUE(sharing.share() * 3 * 5 <= 46 * 4);
    CHECK_FALSE(ConnectionSharing(151, 69, 3).isLent());
    LONGS_EQUAL(1, ConnectionSharing(2, 9, 3).share());
}

// Load pattern: more hosts than the database accepts connections; each sends occasional requests, and some send many
// more. Every host must obtain a connection for its requests, and connections must be reused. Guards against a few
// hosts that keep all connections, and against a new connection for every request.
TEST(ConnectionSharing, ScarceConnectionsAreAvailableToAllHosts)
{
    constexpr int hosts = 58;
    constexpr int limit = 46;
    constexpr int steps = 6000; // 10 ms each.
    struct Host {
        bool isOpen = false;
        int requests = 0;
        int refused = 0;
    };
    const ConnectionSharing sharing(limit, hosts);
    std::mt19937 random(1);
    std::bernoulli_distribution keeps(sharing.keepProbability());
    std::vector<Host> fleet(hosts);
    int open = 0;
    int reused = 0;
    int requests = 0;
    for (int step = 0; step < steps; ++step) {
        for (std::size_t n = 0; n < fleet.size(); ++n) {
            auto& host = fleet[n];
            const double perStep = n % 4 == 0 ? 0.04 : 0.01;
            if (!std::bernoulli_distribution(perStep)(random))
                continue;
            ++requests;
            ++host.requests;
            if (!host.isOpen && open >= limit) {
                ++host.refused;
                continue;
            }
            reused += host.isOpen ? 1 : 0;
            open += host.isOpen ? 0 : 1;
            host.isOpen = keeps(random);
            open -= host.isOpen ? 0 : 1;
        }
    }
    for (const auto& host : fleet)
        CHECK_TRUE_TEXT(host.refused * 20 <= host.requests, "a host obtained no connection for more than 1/20 of its requests");
    CHECK_TRUE_TEXT(reused * 3 > requests, "less than 1/3 of the requests reused an open connection");
}
