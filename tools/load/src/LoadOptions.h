#pragma once

#include "kumquatbank/core/core.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace kumquatbank::load {

/// What the requests of one item of the mix do.
enum class WorkKind {
    Read, ///< Reads a session's key and checks it.
    Write, ///< Appends a unique value to a session's key.
    Transaction, ///< Begin, two appends of one unique marker, commit.
};

/// One kind of load.
struct MixItem {
    std::string entry; ///< Catalogue entry; "{service}" stands for the service of the database.
    Rank rank = Rank::Background; ///< The entry's rank, for the report.
    WorkKind kind = WorkKind::Read;
    unsigned callers = 1; ///< Requests in flight at most.
    double ratePerSecond = 0; ///< Operations started by all callers together; 0: each starts the next at once.
    Milliseconds deadline { 2000 };
    Milliseconds service { 0 }; ///< Added to a statement's service time by a sleep.
    bool checksSession = true; ///< False for entries with maxAgeMs, which may return older data.
    std::vector<std::string> databases {}; ///< Names of the databases to use; empty: all.
};

/// Throws std::exception naming the field that is missing or invalid.
void from_json(const nlohmann::json& json, MixItem& item);

/// A database under load and the control ports of its slots.
struct DatabaseTarget {
    std::string name;
    std::vector<HostAddress> controls;

    /// Name without its last part: "zapisnik-1" for "zapisnik-1-a".
    std::string service() const { return name.substr(0, name.rfind('-')); }

    /// Reads "name=ip:port|ip:port|..."; NotRun/BadRequest otherwise.
    static Result<DatabaseTarget> parse(const std::string& text);
};

/// Settings of one run.
struct LoadOptions {
    std::vector<HostAddress> proxies;
    std::vector<DatabaseTarget> databases;
    std::vector<MixItem> mix;
    Milliseconds duration { 10'000 };
    std::uint64_t seed = 1;
    std::string runName; ///< Prefix of every key and id, so that runs on one database do not mix.
    std::string jsonPath {}; ///< File for the results as JSON; empty: none.

    /// Entry that requests of @p item name on @p database.
    std::string entryName(const MixItem& item, std::size_t database) const;

    /// Indices of the databases that @p item uses; throws std::exception for an unknown name.
    std::vector<std::size_t> databasesOf(const MixItem& item) const;
};

} // namespace kumquatbank::load
