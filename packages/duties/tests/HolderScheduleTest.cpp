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
/// Steps until a join or death is known to a host, at the most; differs from host to host.
constexpr int maxViewDelaySteps = 5;

struct Host {
    PlacementHost entry;
    bool isAlive = true;
};

/// A fleet in which each host learns of joins and deaths at its own time.
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

    /// One host dies or returns.
    void toggleRandomHost()
    {
        auto& host = m_hosts[std::uniform_int_distribution<std::size_t>(0, m_hosts.size() - 1)(m_random)];
        host.isAlive = !host.isAlive;
        m_stepsSinceChange = 0;
        if (host.isAlive)
            m_views[host.entry.name] = aliveHosts();
    }

    /// Some hosts learn the present membership, all of them once it has been calm for long enough.
    void step()
    {
        ++m_stepsSinceChange;
        for (auto& [name, view] : m_views) {
            if (m_stepsSinceChange >= maxViewDelaySteps || std::bernoulli_distribution(0.5)(m_random))
                view = aliveHosts();
        }
    }

    bool hasConverged() const { return m_stepsSinceChange >= maxViewDelaySteps; }

    /// Living hosts that take themselves for the first holder.
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

/// Ninety hosts that learn of joins and deaths at different times.
TEST_GROUP(HolderSchedule) {};

// Guards against services without a holder, or with two for good: once all hosts know the same hosts, each service has one
// in each region. While views differ, at most two hosts take themselves for it for each host that has changed.
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
