#pragma once

#include "kumquatbank/catalogue/catalogue.h"

#include <map>
#include <mutex>
#include <string>

namespace kumquatbank {

/// Position of a database among those of its service, ordered by name; identical on every process with the same
/// catalogue. Thread-safe.
class ServiceIndex {
public:
    struct Position {
        std::size_t index = 0;
        std::size_t count = 1;
    };

    explicit ServiceIndex(const Catalogue& catalogue);

    /// Position of @p database; index 0 of 1 for an unknown one. Rebuilt if the catalogue's revision has changed.
    Position find(const std::string& database);

private:
    void rebuild();

    const Catalogue& m_catalogue;
    std::mutex m_mutex;
    std::uint64_t m_revision = 0;
    std::map<std::string, Position> m_positions;
};

} // namespace kumquatbank
