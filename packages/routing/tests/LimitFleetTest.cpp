#include "LimitFleet.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>
#include <numeric>

using namespace kumquatbank;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr LimitBound bound;
constexpr int hosts = 87;

std::vector<int> allHosts()
{
    std::vector<int> all(hosts);
    std::iota(all.begin(), all.end(), 0);
    return all;
}

const std::map<std::string, RateLimit> usualLimits { { "large", { 300, 300 } }, { "small", { 1, 1 } }, { "steady", { 120, 1 } } };

/// One random fault of the fleet.
void injectFault(LimitFleet& fleet)
{
    auto& random = fleet.random();
    const int host = static_cast<int>(random() % hosts);
    const int coordinator = fleet.coordinator(static_cast<int>(random() % 3));
    const milliseconds duration(random() % 4000);
    switch (random() % 12) {
    case 0:
        fleet.freeze(host, duration);
        break;
    case 1:
    case 2:
        fleet.freeze(coordinator, duration);
        break;
    case 3:
        fleet.kill(host, duration);
        break;
    case 4:
    case 5:
        fleet.kill(coordinator, duration / 4);
        break;
    case 6:
        fleet.split([modulus = 2 + random() % 5](int n) { return static_cast<unsigned>(n) % modulus == 0; }, duration);
        break;
    case 7:
        fleet.shape().lossProbability = static_cast<double>(random() % 30) / 100;
        break;
    case 8:
        fleet.shape().lateProbability = static_cast<double>(random() % 30) / 100;
        break;
    case 9:
        fleet.shape().duplicateProbability = static_cast<double>(random() % 30) / 100;
        break;
    case 10:
        for (int n = 0; n < hosts; n += 1 + static_cast<int>(random() % 4))
            fleet.shuffleRanking(n);
        break;
    default:
        if (random() % 4 == 0) {
            for (int n = 0; n < hosts; ++n)
                fleet.kill(n, milliseconds(random() % 1000));
        } else {
            fleet.setListedHosts(host, hosts - static_cast<int>(random() % 20));
        }
    }
}

/// Greatest excess over the bound on a day of random faults and changes of the limits.
double excessUnderFaults(unsigned seed, bool countsFromReceipt)
{
    LimitFleet::Shape shape;
    shape.countsFromReceipt = countsFromReceipt;
    LimitFleet fleet(shape, seed);
    fleet.setLimits(usualLimits, milliseconds(0));
    fleet.setDemand("large", 900, allHosts());
    fleet.setDemand("small", 20, { 4, 7, 9 });
    fleet.setDemand("steady", 300, allHosts());
    for (int n = 0; n < 60; ++n) {
        fleet.runFor(milliseconds(fleet.random()() % 2000));
        injectFault(fleet);
        if (n == 20)
            fleet.setLimits({ { "large", { 40, 10 } }, { "small", { 8, 1 } }, { "steady", { 120, 1 } } }, milliseconds(3000));
        if (n == 35)
            fleet.setLimits({ { "large", { 300, 300 } }, { "small", { 1, 1 } } }, milliseconds(3000));
        if (n == 45)
            fleet.setLimits(usualLimits, milliseconds(3000));
    }
    fleet.runFor(seconds(5));
    return std::max({ fleet.worstExcess("large", bound), fleet.worstExcess("small", bound), fleet.worstExcess("steady", bound) });
}

} // namespace

TEST_GROUP(LimitFleet) {};

// Guards against tokens that are produced twice: by late and repeated requests, by frozen hosts and coordinators, by two
// coordinators of one region, by restarts and splits, and by changes of the limits.
TEST(LimitFleet, BoundHoldsUnderRandomFaults)
{
    const unsigned first = std::random_device {}() % 100'000;
    for (unsigned seed = first; seed < first + 8; ++seed) {
        const double excess = excessUnderFaults(seed, false);
        CHECK_TRUE_TEXT(excess <= 0, fmt::format("seed {}: {:.1f} operations above the bound", seed, excess).c_str());
    }
}

// Guards against a model that cannot find a violation: coordinators that count a share from the receipt of the request,
// and not from the stamp in it, produce tokens twice.
TEST(LimitFleet, ModelFindsSharesThatAreCountedTwice)
{
    for (unsigned seed = 2; seed <= 4; ++seed)
        CHECK_TRUE_TEXT(excessUnderFaults(seed, true) > 0, fmt::format("seed {}", seed).c_str());
}

// Guards against refusals below the limit.
TEST(LimitFleet, NothingIsRefusedBelowTheLimit)
{
    for (const bool isSpread : { true, false }) {
        LimitFleet fleet({}, 7);
        fleet.setLimits({ { "large", { 300, 300 } }, { "small", { 1, 1 } } }, milliseconds(0));
        fleet.runFor(seconds(25));
        fleet.setDemand("large", 260, isSpread ? allHosts() : std::vector<int> { 41 });
        fleet.setDemand("small", 0.8, isSpread ? allHosts() : std::vector<int> { 41 });
        fleet.runFor(seconds(60));
        for (const auto* account : { "large", "small" }) {
            const auto counts = fleet.counts(account);
            CHECK_TRUE(counts.admitted > 20);
            LONGS_EQUAL_TEXT(0, counts.refused, fmt::format("{} spread={} admitted={}", account, isSpread, counts.admitted).c_str());
        }
    }
}

// Guards against limits that cost much of what they allow.
TEST(LimitFleet, DemandAboveTheLimitGetsNearlyAllOfIt)
{
    for (const bool isSpread : { true, false }) {
        LimitFleet fleet({}, 7);
        fleet.setLimits(usualLimits, milliseconds(0));
        fleet.runFor(seconds(5));
        for (const auto& [account, limit] : usualLimits)
            fleet.setDemand(account, limit.perSecond * 3, isSpread ? allHosts() : std::vector<int> { 41 });
        fleet.runFor(seconds(10));
        fleet.resetCounts();
        fleet.runFor(seconds(30));
        for (const auto& [account, limit] : usualLimits) {
            const auto counts = fleet.counts(account);
            // All of a burst of 1 at 120 a second crosses from region to region in small parts, and some of them expire.
            const double part = account == "steady" && !isSpread ? 0.85 : 0.9;
            CHECK_TRUE_TEXT(counts.admitted >= part * 30 * limit.perSecond, fmt::format("{} spread={} admitted={}", account, isSpread, counts.admitted).c_str());
        }
    }
}

// Guards against refusals that last longer than the lease of a dead coordinator.
TEST(LimitFleet, RefusalsEndAfterTheDeathOfACoordinator)
{
    LimitFleet fleet({}, 7);
    fleet.setLimits(usualLimits, milliseconds(0));
    fleet.setDemand("large", 180, allHosts());
    fleet.runFor(seconds(10));
    fleet.resetCounts();
    fleet.kill(fleet.coordinator(0), seconds(60));
    const auto diedAt = fleet.now();
    fleet.runFor(seconds(30));
    const auto counts = fleet.counts("large");
    CHECK_TRUE(counts.admitted > 4000);
    CHECK_TRUE_TEXT(counts.refused == 0 || counts.lastRefusal <= diedAt + LimitTimes::lease + seconds(1), fmt::format("{} refused, the last after {} ms", counts.refused, toMs(counts.lastRefusal - diedAt)).c_str());
}

// Guards against shares that are counted twice after a restart: by the coordinator that a host had lent its share to, and by
// one that started at the same time as the host.
TEST(LimitFleet, BoundHoldsWhenHostsRestartTogetherWithTheirFirstCoordinator)
{
    double worst = -1e9;
    for (unsigned seed = 1; seed <= 10; ++seed) {
        LimitFleet fleet({}, seed);
        fleet.setLimits({ { "large", { 300, 300 } } }, milliseconds(0));
        fleet.runFor(seconds(5));
        std::vector<int> successors; // The second coordinators, which have the shares when the first ones come back.
        for (int region = 0; region < 3; ++region) {
            fleet.kill(fleet.coordinator(region), seconds(10));
            successors.push_back(fleet.coordinator(region) + 3);
        }
        fleet.runFor(milliseconds(9990));
        for (int n = 0; n < hosts; ++n) {
            if (std::ranges::find(successors, n) == successors.end())
                fleet.kill(n, milliseconds(10));
        }
        auto users = allHosts();
        for (int n = 0; n < hosts / 3; ++n)
            users.insert(users.end(), successors.begin(), successors.end());
        fleet.setDemand("large", 3000, users);
        fleet.shape().sendsLateUntil = fleet.now() + seconds(2);
        fleet.runFor(seconds(10));
        worst = std::max(worst, fleet.worstExcess("large", bound));
    }
    CHECK_TRUE_TEXT(worst <= 0, fmt::format("{:.1f} operations above the bound", worst).c_str());
}
