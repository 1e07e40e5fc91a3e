#pragma once

#include "kumquatbank/core/BootClock.h"
#include "kumquatbank/routing/EndpointEntry.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kumquatbank {

/// The endpoints that the store lists.
///
/// When the store comes back from an older copy, its entries may be older than those known here: a draining endpoint
/// would be ready again, a replaced one primary, and one that has left would be back. Endpoints write their entries again
/// within two seconds. Until an endpoint has done so, the newer entry stays, and so does a removal.
class EndpointTable {
public:
    /// The older entries of a copy are held back for this time. Entries of endpoints that are gone lapse before its end.
    static constexpr std::chrono::seconds confirmationTime { 5 };
    /// Removed entries are remembered for this time, far longer than the age of a copy.
    static constexpr std::chrono::minutes removedRetention { 10 };

    using Entries = std::map<std::string, EndpointEntry>;

    /// Replaces all entries by a listing.
    /// @param era  era of the store in which the listing was made; a greater one than before starts the confirmation.
    /// @return the endpoints whose listed entries are held back because they are older than what is known.
    std::vector<std::string> replace(Entries listed, std::uint64_t era, BootTime now);

    /// Applies a change made in the present era.
    void set(EndpointEntry entry);
    void remove(const std::string& id, BootTime now);

    const Entries& entries() const { return m_entries; }

    /// True if the time of confirmation has passed and entries are still held back, so that a new listing is needed.
    bool isConfirmationDue(BootTime now) const { return m_confirmAt && now >= *m_confirmAt; }

private:
    struct Removal {
        EndpointEntry entry;
        BootTime at {};
    };

    /// True if a newer entry of the endpoint is known, or the removal of this one.
    bool isSuperseded(const EndpointEntry& entry) const;
    void rememberRemoval(const EndpointEntry& entry, BootTime now);

    Entries m_entries;
    std::map<std::string, Removal> m_removed;
    std::uint64_t m_era = 0;
    std::optional<BootTime> m_confirmAt; ///< Set while entries are held back.
};

} // namespace kumquatbank
