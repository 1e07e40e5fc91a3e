#pragma once

#include "kumquatbank/core/core.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace kumquatbank {

/// Which requests an entry accepts.
enum class EntryClass {
    Read, ///< Reads only.
    Write, ///< Writes and transactions; reads only inside a transaction.
    Both,
};

/// One kind of work: its owner, class, rank and limits. Limits hold over the whole fleet.
struct CatalogueEntry {
    std::string name;
    std::string owner;
    EntryClass entryClass = EntryClass::Read;
    Rank rank = Rank::Background;
    std::string service; ///< The entry applies to the databases of this service.
    std::optional<unsigned> maxConcurrent; ///< Requests running at once.
    std::optional<double> maxPerSecond;
    double floorPercent = 0; ///< Share of a database's capacity kept for this entry while it has work, 0 to 90.
    Milliseconds maxQueue { 1000 }; ///< Longest wait for a connection.
    std::optional<Milliseconds> maxAge; ///< Oldest data a read accepts; empty: the session's own writes rule.
    bool isRepeatable = false; ///< Running a statement twice does no harm.
    std::string changeId; ///< Set by the operator's tool to recognise its own change.

    /// Reads and checks an entry; NotRun/BadRequest names field, value and what is allowed.
    static Result<CatalogueEntry> fromJson(const nlohmann::json& json);

    /// True when the entry's class allows @p kind.
    bool accepts(RequestKind kind, bool isInTransaction) const;
};

void to_json(nlohmann::json& json, const CatalogueEntry& entry);

} // namespace kumquatbank
