#pragma once

#include "kumquatbank/core/BootClock.h"
#include "kumquatbank/core/LogPosition.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace kumquatbank {

/// Status reported by an endpoint.
struct EndpointStatus {
    std::string id;
    bool isPrimary = false;
    Term term = 0; ///< Newest term known to the endpoint.
    LogPosition received; ///< End of its log, including entries that are not applied yet.
    bool isDraining = false;
};

/// Returns the endpoint whose promotion loses the fewest commits: the one with the newest received position; a draining
/// endpoint only if there is no other. Empty if fewer than half of the @p knownEndpoints answered, because the only one
/// that answers may have been cut off during an earlier change of primary, and its promotion would restore its outdated
/// log.
std::optional<EndpointStatus> choosePromotionCandidate(const std::vector<EndpointStatus>& statuses, std::size_t knownEndpoints);

/// A peer's report about the primary of a service.
struct PeerReport {
    bool answered = false;
    bool reachesPrimary = false; ///< The peer received an answer from the primary within the silence limit.
};

/// Whether a primary that this host cannot reach is to be replaced: true if most hosts cannot reach it, counting the
/// peers that answered and this host, or if there are no peers. @p decideWithoutPeers: the result if there are peers
/// but none answers, because all may be down.
bool isPrimaryLost(const std::vector<PeerReport>& reports, bool decideWithoutPeers);

} // namespace kumquatbank
