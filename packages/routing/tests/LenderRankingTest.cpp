#include "kumquatbank/routing/LenderRanking.h"

#include <algorithm>
#include <map>

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;

namespace {

std::vector<LenderCandidate> candidates(int hosts, int regions)
{
    std::vector<LenderCandidate> found;
    for (int n = 0; n < hosts; ++n)
        found.push_back({ "host-" + std::to_string(n), "region-" + std::to_string(n % regions) });
    return found;
}

} // namespace

TEST_GROUP(LenderRanking) {};

// Guards against two lenders for one region, whose connections together exceed the limit, when hosts list each other in
// different orders.
TEST(LenderRanking, IsTheSameForEveryOrderOfTheCandidates)
{
    auto hosts = candidates(12, 3);
    const auto ranking = rankLenders("service", "region-1", hosts);
    std::ranges::reverse(hosts);
    const auto other = rankLenders("service", "region-1", hosts);
    CHECK_TRUE(std::ranges::equal(ranking, other, {}, &LenderCandidate::name, &LenderCandidate::name));
}

// Guards against statements that cross regions to reach a lender while a nearer one is there.
TEST(LenderRanking, PutsHostsOfTheRegionFirst)
{
    const auto ranking = rankLenders("service", "region-1", candidates(12, 3));
    const auto near = std::ranges::count(ranking.begin(), ranking.begin() + 4, "region-1", &LenderCandidate::region);
    LONGS_EQUAL(4, near);
}

// Pattern: many services, few connections each. One host that lends those of all services would be the bottleneck.
TEST(LenderRanking, SpreadsServicesOverTheHosts)
{
    std::map<std::string, int> services;
    for (int n = 0; n < 64; ++n)
        ++services[rankLenders("service-" + std::to_string(n), "region-0", candidates(16, 1)).front().name];
    CHECK_TRUE(services.size() >= 12);
    CHECK_TRUE(std::ranges::all_of(services, [](const auto& item) { return item.second <= 16; }));
}

// Guards against a lost host that makes every service change its lender.
TEST(LenderRanking, KeepsTheOrderOfTheOthersWhenOneIsGone)
{
    auto hosts = candidates(9, 3);
    auto before = rankLenders("service", "region-2", hosts);
    std::erase_if(hosts, [](const LenderCandidate& host) { return host.name == "host-4"; });
    std::erase_if(before, [](const LenderCandidate& host) { return host.name == "host-4"; });
    const auto after = rankLenders("service", "region-2", hosts);
    CHECK_TRUE(std::ranges::equal(before, after, {}, &LenderCandidate::name, &LenderCandidate::name));
}
