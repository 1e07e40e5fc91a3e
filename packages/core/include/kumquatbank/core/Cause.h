#pragma once

#include <optional>
#include <string_view>

namespace kumquatbank {

/// Why a request was refused or delayed.
enum class Cause {
    None,
    RankQueue, ///< More urgent work or the same rank's backlog was ahead.
    EntryLimit, ///< The entry's own limit was reached.
    FleetCapacity, ///< All connections to the database were busy.
    PrimaryFailover, ///< The primary was being replaced.
    ReplicaLag, ///< No replica held the session's position.
    EndpointSlow, ///< The endpoint answered late.
    EndpointDown, ///< Too few endpoints of the database were reachable.
    HolderChange, ///< The database was moving to another holder.
    PlatformDown, ///< The platform did not answer.
    Draining, ///< The process was shutting down.
    BadRequest, ///< The request itself was invalid.
    Deadline, ///< The caller's deadline passed.
};

/// Name on the wire, for example "rank_queue".
std::string_view causeName(Cause cause);

/// Reads a name made by causeName(); empty for an unknown name.
std::optional<Cause> parseCause(std::string_view name);

} // namespace kumquatbank
