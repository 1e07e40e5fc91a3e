#pragma once

#include "kumquatbank/core/BootClock.h"
#include "kumquatbank/routing/ReadFloor.h"
#include "kumquatbank/routing/ServiceScheduler.h"

namespace kumquatbank {

/// Freshness requirement of a read.
struct ReadFreshness {
    std::chrono::milliseconds maxStaleness { 0 };
    ReadFloor<BootClock>::SessionCommit ownCommit {}; ///< Newest commit of the session that reads.
};

/// Request of a statement or transaction for a database connection. A request with a freshness requirement is served
/// only once the minimum log position of the read is known.
struct ConnectionRequest {
    PermitRequest permit;
    std::string account; ///< Connections belong to one account; empty for clients without one.
    std::optional<ReadFreshness> freshness; ///< Set for reads that any endpoint may serve.
    BootTime deadline {}; ///< Time limit of the whole attempt.
    std::chrono::milliseconds answerTimeout { 0 }; ///< Time limit of each statement on the connection.
};

} // namespace kumquatbank
