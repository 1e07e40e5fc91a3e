#pragma once

#include "kumquatbank/catalogue/CatalogueEntry.h"
#include "kumquatbank/catalogue/DatabaseDefinition.h"
#include "kumquatbank/platform/platform.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace kumquatbank {

/// Changes that lead from one revision of the catalogue to another.
struct CatalogueDelta {
    std::uint64_t from = 0; ///< The changes are complete for a copy at this revision or later; 0: a snapshot.
    std::uint64_t to = 0;
    std::vector<PlatformObject> changes;

    /// In a snapshot: every removal after this revision is among the changes, so that the receiver can pass on
    /// changes since then. 0 when it holds no removals, as a listing of the platform.
    std::uint64_t removalsSince = 0;
};

void to_json(nlohmann::json& json, const CatalogueDelta& delta);
void from_json(const nlohmann::json& json, CatalogueDelta& delta); ///< Throws std::exception on bad input.

/// This process's copy of the catalogue. Each object only ever moves to a greater revision and a removal
/// leaves a tombstone, so neither a late message nor a peer that is behind can revert a change. Thread-safe.
class Catalogue {
public:
    Catalogue();
    ~Catalogue();
    Catalogue(const Catalogue&) = delete;
    Catalogue& operator=(const Catalogue&) = delete;

    /// Applies newer objects. Returns false, and changes nothing, when the delta starts after this copy's
    /// revision (changes between are missing). Objects that cannot be read keep their last valid value.
    bool apply(const CatalogueDelta& delta);

    /// Revision up to which this copy is complete; 0 before the first snapshot.
    std::uint64_t revision() const;

    /// Changes after @p revision; a snapshot (from = 0) when they are no longer remembered one by one.
    CatalogueDelta changesSince(std::uint64_t revision) const;

    std::shared_ptr<const CatalogueEntry> findEntry(const std::string& name) const; ///< Null if unknown.
    std::shared_ptr<const DatabaseDefinition> findDatabase(const std::string& name) const; ///< Null if unknown.
    std::vector<std::shared_ptr<const CatalogueEntry>> entries() const;
    std::vector<std::shared_ptr<const DatabaseDefinition>> databases() const;

    /// Databases that share @p service; entry limits are divided by this number.
    std::size_t databaseCount(const std::string& service) const;

    /// Called after every applied change, on the thread that applied it. Register before threads start.
    void onChange(std::function<void()> listener);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace kumquatbank
