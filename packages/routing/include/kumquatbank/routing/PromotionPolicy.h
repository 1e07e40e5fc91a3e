#pragma once

#include "kumquatbank/core/BootClock.h"
#include "kumquatbank/core/LogPosition.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace kumquatbank {

/// What an endpoint answered when it was asked for its status.
struct EndpointStatus {
    std::string id;
    bool isPrimary = false;
    Term term = 0; ///< Newest term it knows.
    LogPosition received; ///< End of its log, applied or not.
    bool isDraining = false;
};

/// The endpoint that loses the fewest commits when it becomes primary: the one with the newest received position;
/// one that is about to leave only if there is no other. Empty if fewer than half of the @p knownEndpoints endpoints answered: an
/// endpoint that was cut off during an earlier change of primary may be the only one, and would bring back its own log.
std::optional<EndpointStatus> choosePromotionCandidate(const std::vector<EndpointStatus>& statuses, std::size_t knownEndpoints);

/// What a peer says about the primary of a service.
struct PeerReport {
    bool answered = false;
    bool reachesPrimary = false; ///< It had an answer from the primary within the silence limit.
};

/// Whether a primary that this host cannot reach is to be replaced: if most of the peers that answer cannot reach it
/// either. @p decideWithoutPeers: whether to decide when no peer answers, because all may be down.
bool isPrimaryLost(const std::vector<PeerReport>& reports, bool decideWithoutPeers);

} // namespace kumquatbank
