#pragma once

#include "kumquatbank/catalogue/catalogue.h"
#include "kumquatbank/membership/Member.h"

#include <vector>

namespace kumquatbank {

/// Holder candidates of a database by rendezvous hashing, best first: hosts in the place of the first slot
/// before all others. Every process with the same member list computes the same order. Members that are
/// neither Alive nor Suspect are left out.
std::vector<HostIdentity> holderCandidates(const DatabaseDefinition& database, const std::vector<Member>& members);

/// Processes of @p place that watch the platform for the others, at most @p count.
std::vector<HostIdentity> relaysOf(const std::string& place, const std::vector<Member>& members, std::size_t count);

} // namespace kumquatbank
