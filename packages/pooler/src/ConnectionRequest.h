#pragma once

#include "kumquatbank/core/BootClock.h"
#include "kumquatbank/routing/ReadFloor.h"
#include "kumquatbank/routing/ServiceScheduler.h"

namespace kumquatbank {

/// How fresh the data of a read must be.
struct ReadFreshness {
    std::chrono::milliseconds maxStaleness { 0 };
    ReadFloor<BootClock>::SessionCommit ownCommit {}; ///< Newest commit of the reading session.
};

/// What a statement or transaction needs of a database connection.
struct ConnectionRequest {
    PermitRequest permit;
    std::optional<ReadFreshness> freshness; ///< For reads that any endpoint may serve: the position to find is to be known.
    BootTime deadline {}; ///< End of the whole attempt.
    std::chrono::milliseconds answerTimeout { 0 }; ///< Of each statement on the connection.
};

} // namespace kumquatbank
