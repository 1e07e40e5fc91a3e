#include "kumquatbank/core/Cause.h"

#include <algorithm>
#include <array>
#include <utility>

namespace kumquatbank {

namespace {

    constexpr std::array<std::pair<Cause, std::string_view>, 13> causeNames { {
        { Cause::None, "none" },
        { Cause::RankQueue, "rank_queue" },
        { Cause::EntryLimit, "entry_limit" },
        { Cause::FleetCapacity, "fleet_capacity" },
        { Cause::PrimaryFailover, "primary_failover" },
        { Cause::ReplicaLag, "replica_lag" },
        { Cause::EndpointSlow, "endpoint_slow" },
        { Cause::EndpointDown, "endpoint_down" },
        { Cause::HolderChange, "holder_change" },
        { Cause::PlatformDown, "platform_down" },
        { Cause::Draining, "draining" },
        { Cause::BadRequest, "bad_request" },
        { Cause::Deadline, "deadline" },
    } };

} // namespace

std::string_view causeName(Cause cause)
{
    const auto it = std::ranges::find(causeNames, cause, &std::pair<Cause, std::string_view>::first);
    return it == causeNames.end() ? "none" : it->second;
}

std::optional<Cause> parseCause(std::string_view name)
{
    const auto it = std::ranges::find(causeNames, name, &std::pair<Cause, std::string_view>::second);
    if (it == causeNames.end())
        return std::nullopt;
    return it->first;
}

} // namespace kumquatbank
