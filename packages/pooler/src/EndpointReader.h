#pragma once

#include "kumquatbank/adapter/ObjectStore.h"
#include "kumquatbank/routing/EndpointEntry.h"
#include "kumquatbank/routing/EndpointTable.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace kumquatbank {

/// Reads the entries of endpoints from the store's objects. Entries that cannot be read are left out, each with one line in
/// the log for every cause. So are entries of services that no configuration names, beyond a number that bounds the memory
/// that another writer can take up.
class EndpointReader {
public:
    /// Entries of services that the configuration does not name. A deployment lists as many at most before its
    /// configuration names their services; see the target of 18,000 databases.
    static constexpr std::size_t maxUnroutedEntries = 20'000;

    /// @p isRouted: whether the configuration in force names a service.
    explicit EndpointReader(std::function<bool(const std::string&)> isRouted)
        : m_isRouted(std::move(isRouted))
    {
    }

    /// Entries of a listing that is being read, and the memory that is counted for them.
    struct Listing {
        EndpointTable::Entries entries;
        std::size_t unrouted = 0;
        std::size_t omitted = 0;
        MemoryHold memory;
    };

    /// Adds an object to a listing. Returns false if there is no memory for it.
    bool addTo(Listing& listing, const StoreObject& object);
    /// Records that a listing is now in force.
    void finish(const Listing& listing);

    /// Reads the object of a change. Empty if it is not to be used.
    std::optional<EndpointEntry> read(const StoreObject& object, const EndpointTable::Entries& known);
    void forget(const std::string& name) { m_skipped.erase(nameHash(name)); }

    /// True if entries have been left out whose service the configuration may name by now.
    bool hasOmitted() const { return m_omitted > 0; }

private:
    static std::size_t nameHash(const std::string& name) { return std::hash<std::string>()(name); }

    std::optional<EndpointEntry> parse(const StoreObject& object);

    std::function<bool(const std::string&)> m_isRouted;
    std::map<std::size_t, std::size_t> m_skipped; ///< Hashes of the names of entries that cannot be read, and of the causes.
    std::size_t m_unrouted = 0; ///< Entries in force, and those added by changes since the last listing.
    std::size_t m_omitted = 0;
};

} // namespace kumquatbank
