#include "kumquatbank/duties/duties.h"

#include <algorithm>
#include <map>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;

namespace {

constexpr double weakWeight = 0.12;
constexpr double strongWeight = 0.5;

/// Every sixth host has the larger weight, as in production fleets.
std::vector<PlacementHost> fleet(int hosts, int regions)
{
    std::vector<PlacementHost> found;
    for (int n = 0; n < hosts; ++n) {
        const auto region = std::to_string(n % regions);
        found.push_back({ "host-" + std::to_string(n), "dc-" + region, "region-" + region, n % 6 == 0 ? strongWeight : weakWeight, true });
    }
    return found;
}

std::vector<std::string> names(const std::vector<PlacementHost>& hosts)
{
    std::vector<std::string> found;
    std::ranges::transform(hosts, std::back_inserter(found), &PlacementHost::name);
    return found;
}

std::string serviceName(int n) { return "service-" + std::to_string(n); }

} // namespace

TEST_GROUP(Placement) {};

// Guards against two holders for one region, whose connections together exceed the limit, when the host lists of two
// hosts differ in order.
TEST(Placement, IsIndependentOfHostOrder)
{
    auto hosts = fleet(12, 3);
    const auto ranking = names(Placement(hosts).holders("service", "region-1"));
    std::ranges::reverse(hosts);
    CHECK_TRUE(ranking == names(Placement(hosts).holders("service", "region-1")));
}

// Guards against statements that cross regions to reach a holder although their own region has one.
TEST(Placement, RanksHostsOfTheRegionFirst)
{
    const auto ranking = Placement(fleet(12, 3)).holders("service", "region-1");
    const auto inRegion = std::ranges::count(ranking.begin(), ranking.begin() + 4, "region-1", &PlacementHost::region);
    LONGS_EQUAL(4, inRegion);
}

// Guards against a holder from which no host can borrow connections.
TEST(Placement, OnlyLendersAreHolders)
{
    auto hosts = fleet(6, 1);
    for (std::size_t n = 0; n < 5; ++n)
        hosts[n].lends = false;
    const Placement placement(hosts);
    CHECK_TRUE(names(placement.holders("service", "region-0")) == std::vector<std::string> { "host-5" });
    for (auto& host : hosts)
        host.lends = false;
    CHECK_TRUE(Placement(hosts).lendingRegions().empty());
}

// Load pattern: hosts of 0.5 and 0.12 cores in one fleet, and many services. Of 1000 duties, each host must hold
// between a third of and three times its fair share, which is proportional to its weight.
TEST(Placement, AssignsDutiesInProportionToWeight)
{
    constexpr int services = 1000;
    const auto hosts = fleet(30, 1);
    const Placement placement(hosts);
    std::map<std::string, int> held;
    for (int n = 0; n < services; ++n)
        ++held[placement.holders(serviceName(n), "region-0").front().name];
    double weights = 0;
    for (const auto& host : hosts)
        weights += host.weight;
    for (const auto& host : hosts) {
        const double fairShare = services * host.weight / weights;
        CHECK_TRUE_TEXT(held[host.name] <= 3 * fairShare, (host.name + " holds " + std::to_string(held[host.name]) + " of a fair " + std::to_string(fairShare)).c_str());
        CHECK_TRUE_TEXT(held[host.name] * 3 >= fairShare, (host.name + " holds too few").c_str());
    }
}

// Guards against joins and failures that move the connections of services whose holders have not changed.
TEST(Placement, JoinOrFailureMovesOnlyDutiesOfThatHost)
{
    std::mt19937 random(20'261'204);
    auto hosts = fleet(60, 3);
    for (int round = 0; round < 200; ++round) {
        const Placement before(hosts);
        const auto it = hosts.begin() + std::uniform_int_distribution<std::ptrdiff_t>(0, std::ssize(hosts) - 1)(random);
        const auto changed = *it;
        hosts.erase(it);
        const Placement after(hosts);
        for (int n = 0; n < 20; ++n) {
            auto expected = names(before.holders(serviceName(n), "region-1"));
            std::erase(expected, changed.name);
            CHECK_TRUE(expected == names(after.holders(serviceName(n), "region-1")));
        }
        if (hosts.size() < 30 || round % 2 == 0)
            hosts.push_back(changed);
    }
}

// Guards against a region in which no host can be queried about a primary: the first holder of each region is returned,
// and the second in case the first has failed.
TEST(Placement, ReturnsTwoHoldersOfEveryRegion)
{
    const Placement placement(fleet(30, 3));
    const auto candidates = placement.topHoldersPerRegion("service");
    LONGS_EQUAL(6, candidates.size());
    for (const char* region : { "region-0", "region-1", "region-2" }) {
        const auto ranking = placement.holders("service", region);
        CHECK_TRUE(std::ranges::find(candidates, ranking[0].name, &PlacementHost::name) != candidates.end());
        CHECK_TRUE(std::ranges::find(candidates, ranking[1].name, &PlacementHost::name) != candidates.end());
    }
}

// Guards against regions in which no host, or every host, watches the store.
TEST(Placement, FollowersAreIndependentOfHostOrder)
{
    auto hosts = fleet(30, 3);
    const auto followers = names(Placement(hosts).followers("region-2", 2));
    LONGS_EQUAL(2, followers.size());
    std::ranges::reverse(hosts);
    CHECK_TRUE(followers == names(Placement(hosts).followers("region-2", 2)));
    LONGS_EQUAL(0, Placement(hosts).followers("region-9", 2).size());
}
