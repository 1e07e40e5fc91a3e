#pragma once

#include "EmulatedPlatform.h"

#include <random>

namespace kumquatbank {

/// Changes of the operator to routes, drawn from a seed: routes that are removed and added again, new routes, other
/// timeouts. Several follow each other within milliseconds to seconds, each with a new version of the configuration.
class RouteChanges {
public:
    static constexpr int extraDatabases = 2;

    RouteChanges(asio::io_context& io, EmulatedPlatform& platform, unsigned seed);

    Task<void> changeInSuccession();

    /// Times in which a database had no route, one a line: the database, the beginning and the end in ms since the machine
    /// started. The end is -1 if it has no route now.
    std::vector<std::string> absences() const;

private:
    struct Absence {
        BootTime from {};
        std::optional<BootTime> to;
    };

    void changeOne();
    void remove(const std::string& database);
    void changeTimeouts(Route& route);
    void putConfig(const std::string& what);
    Task<void> addAgain(Route route);

    asio::io_context& m_io;
    EmulatedPlatform& m_platform;
    std::mt19937 m_random;
    std::vector<std::string> m_databases; ///< All that may get or lose their route.
    std::map<std::string, std::vector<Absence>> m_absences;
};

} // namespace kumquatbank
