#include "kumquatbank/duties/duties.h"

#include <algorithm>
#include <map>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;

namespace {

constexpr int fleetSize = 90;
constexpr int serviceCount = 20;
constexpr int regionCount = 3;
/// Upper bound of the steps until a host has received a join or failure; the delay differs between hosts.
constexpr int maxViewDelaySteps = 5;

struct Host {
    PlacementHost entry;
    bool isAlive = true;
};

/// A fleet in which each host receives joins and failures after a delay of its own.
class Fleet {
public:
    explicit Fleet(unsigned seed)
        : m_random(seed)
    {
        for (int n = 0; n < fleetSize; ++n) {
            const auto region = "region-" + std::to_string(n % regionCount);
            m_hosts.push_back({ { "host-" + std::to_string(n), "dc", region, n % 5 == 0 ? 0.5 : 0.12, true } });
        }
        for (auto& host : m_hosts)
            m_views[host.entry.name] = aliveHosts();
    }

    /// Stops or restarts one randomly selected host.
    void toggleRandomHost()
    {
        auto& host = m_hosts[std::uniform_int_distribution<std::size_t>(0, m_hosts.size() - 1)(m_random)];
        host.isAlive = !host.isAlive;
        m_stepsSinceChange = 0;
        if (host.isAlive)
            m_views[host.entry.name] = aliveHosts();
    }

    /// Updates the view of random hosts to the present membership, and the views of all hosts once maxViewDelaySteps
    /// have passed since the last change.
    void step()
    {
        ++m_stepsSinceChange;
        for (auto& [name, view] : m_views) {
            if (m_stepsSinceChange >= maxViewDelaySteps || std::bernoulli_distribution(0.5)(m_random))
                view = aliveHosts();
        }
    }

    bool hasConverged() const { return m_stepsSinceChange >= maxViewDelaySteps; }

    /// Number of live hosts of the region that rank themselves first for the service.
    int holderCount(const std::string& service, const std::string& region) const
    {
        return static_cast<int>(std::ranges::count_if(m_hosts, [&](const Host& host) {
            return host.isAlive && host.entry.region == region && Placement(m_views.at(host.entry.name)).holders(service, region).front().name == host.entry.name;
        }));
    }

private:
    std::vector<PlacementHost> aliveHosts() const
    {
        std::vector<PlacementHost> found;
        for (const auto& host : m_hosts) {
            if (host.isAlive)
                found.push_back(host.entry);
        }
        return found;
    }

    std::mt19937 m_random;
    std::vector<Host> m_hosts;
    std::map<std::string, std::vector<PlacementHost>> m_views;
    int m_stepsSinceChange = 0;
};

} // namespace

/// Ninety hosts that receive joins and failures at different times.
TEST_GROUP(HolderSchedule) {};

// Guards against services that have no holder, or two holders permanently. Once all hosts know the same hosts, each
// service has one holder in each region. While views differ, at most two hosts per changed host consider themselves the
// holder.
TEST(HolderSchedule, EachServiceHasOneHolderPerRegionOnceViewsConverge)
{
    for (const unsigned seed : { 1U, 2U, 3U }) {
        Fleet fleet(seed);
        for (int round = 0; round < 6; ++round) {
            fleet.toggleRandomHost();
            for (bool isFirst = true; isFirst || !fleet.hasConverged(); isFirst = false) {
                fleet.step();
                for (int n = 0; n < serviceCount; ++n) {
                    const auto firstHolders = fleet.holderCount("service-" + std::to_string(n), "region-" + std::to_string(n % regionCount));
                    const auto context = "seed " + std::to_string(seed) + ", round " + std::to_string(round) + ": " + std::to_string(firstHolders) + " holders";
                    CHECK_TRUE_TEXT(firstHolders <= 2, context.c_str());
                    if (fleet.hasConverged())
                        LONGS_EQUAL_TEXT(1, firstHolders, context.c_str());
                }
            }
        }
    }
}
