#include "RouteChanges.h"

#include <fmt/format.h>
#include <iostream>

namespace kumquatbank {

using std::chrono::milliseconds;

namespace {

    constexpr unsigned maxChanges = 6;
    constexpr unsigned maxShortGapMs = 60;
    constexpr unsigned maxLongGapMs = 1000;
    /// Longer than proxies may take to apply a configuration, so that some absences end before and some after that.
    constexpr unsigned maxAbsenceMs = 4000;
    /// Statements of the emulated databases take a few milliseconds, so that none fails for the shortest timeout.
    constexpr unsigned minTimeoutMs = 500;
    constexpr unsigned timeoutSpreadMs = 1500;

} // namespace

RouteChanges::RouteChanges(asio::io_context& io, EmulatedPlatform& platform, unsigned seed)
    : m_io(io)
    , m_platform(platform)
    , m_random(seed)
{
    for (const auto& [database, route] : platform.config().routes)
        m_databases.push_back(database);
    for (int n = 0; n < extraDatabases; ++n) {
        m_databases.push_back(EmulatedPlatform::extraDatabaseName(n));
        m_absences[m_databases.back()].push_back({});
    }
}

Task<void> RouteChanges::changeInSuccession()
{
    const auto changes = 1 + m_random() % maxChanges;
    const auto maxGapMs = m_random() % 2 == 0 ? maxShortGapMs : maxLongGapMs;
    for (unsigned n = 0; n < changes; ++n) {
        changeOne();
        co_await sleepFor(m_io, milliseconds(m_random() % maxGapMs));
    }
}

void RouteChanges::changeOne()
{
    auto& routes = m_platform.config().routes;
    const auto& database = m_databases[m_random() % m_databases.size()];
    const auto it = routes.find(database);
    const auto& absences = m_absences[database];
    if (routes.empty())
        return;
    const bool isNew = it == routes.end() && !absences.empty() && absences.back().from == BootTime {};
    if (isNew) {
        auto route = routes.begin()->second;
        route.name = "route-" + database;
        route.database = database;
        asio::co_spawn(m_io, addAgain(route), asio::detached);
    } else if (it == routes.end()) {
        return;
    } else if (m_random() % 2 == 0) {
        changeTimeouts(it->second);
        putConfig("with other timeouts of " + database);
    } else {
        const auto route = it->second;
        remove(database);
        asio::co_spawn(m_io, addAgain(route), asio::detached);
    }
}

void RouteChanges::remove(const std::string& database)
{
    m_absences[database].push_back({ BootClock::now(), std::nullopt });
    m_platform.config().routes.erase(database);
    putConfig("without a route of " + database);
}

void RouteChanges::changeTimeouts(Route& route)
{
    route.statementTimeout = milliseconds(minTimeoutMs + m_random() % timeoutSpreadMs);
    route.targetLatency = milliseconds(minTimeoutMs + m_random() % timeoutSpreadMs);
}

Task<void> RouteChanges::addAgain(Route route)
{
    co_await sleepFor(m_io, milliseconds(m_random() % maxAbsenceMs));
    auto& last = m_absences[route.database].back();
    if (last.to)
        co_return;
    last.to = BootClock::now();
    m_platform.config().routes[route.database] = route;
    putConfig("with a route of " + route.database);
}

void RouteChanges::putConfig(const std::string& what)
{
    m_platform.putConfig();
    std::cout << "trouble: a new configuration, version " << m_platform.config().version << ", " << what << std::endl;
}

std::vector<std::string> RouteChanges::absences() const
{
    std::vector<std::string> lines;
    for (const auto& [database, absences] : m_absences) {
        for (const auto& absence : absences)
            lines.push_back(fmt::format("{} {} {}", database, toMs(absence.from.time_since_epoch()), absence.to ? toMs(absence.to->time_since_epoch()) : -1));
    }
    return lines;
}

} // namespace kumquatbank
