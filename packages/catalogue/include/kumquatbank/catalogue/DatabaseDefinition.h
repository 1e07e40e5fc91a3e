#pragma once

#include "kumquatbank/core/core.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace kumquatbank {

/// One replica of a database.
struct SlotDefinition {
    unsigned slot = 0;
    HostAddress address;
    std::string place;
};

/// A database group: its service, endpoints and connection limit.
struct DatabaseDefinition {
    std::string name;
    std::string service;
    unsigned connectionLimit = 0; ///< Connections each endpoint accepts.
    std::vector<SlotDefinition> slots; ///< The first one's place is the database's home.

    /// Reads and checks a definition; NotRun/BadRequest names field, value and what is allowed.
    static Result<DatabaseDefinition> fromJson(const nlohmann::json& json);

    /// Slots needed for a majority.
    std::size_t majority() const { return slots.size() / 2 + 1; }
};

void to_json(nlohmann::json& json, const DatabaseDefinition& database);

} // namespace kumquatbank
