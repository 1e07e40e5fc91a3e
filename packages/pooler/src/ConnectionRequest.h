#pragma once

#include "kumquatbank/core/BootClock.h"
#include "kumquatbank/engine/DisconnectWatch.h"
#include "kumquatbank/routing/ReadFloor.h"
#include "kumquatbank/routing/ServiceScheduler.h"

#include <string_view>

namespace kumquatbank {

/// Reason of the refusal of a request whose sender has disconnected while it was queued.
constexpr std::string_view disconnectedReason = "the client has disconnected";

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
    /// Watches the sender of the request while the request waits in a queue; null if nobody does. Must outlive the request.
    DisconnectWatch* sender = nullptr;

    bool hasLostSender() const { return sender != nullptr && sender->hasDisconnected(); }
};

} // namespace kumquatbank
