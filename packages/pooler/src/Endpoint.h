#pragma once

#include "DatabaseConnection.h"

#include <vector>

namespace kumquatbank {

/// A connection that serves no session now.
struct IdleConnection {
    std::unique_ptr<DatabaseConnection> connection;
    BootTime since {};
};

/// One database server as this host knows it, with this host's idle connections to it.
struct Endpoint {
    EndpointEntry entry;
    std::vector<IdleConnection> idle; ///< The one that was used last at the end.
    int open = 0; ///< Connections of this host, idle or in use.

    BootTime lastAnswer {}; ///< When the newest request that it answered was sent.
    int failures = 0; ///< Since the last answer.
    BootTime unusableUntil {}; ///< No new work until then, after a failed connect.
    BootTime fullUntil {}; ///< No new connections until then, after one was refused for their number.
    BootTime laggingUntil {}; ///< No reads with a floor until then, after it lacked a position.
    std::chrono::milliseconds lagBackoff { 0 };
    std::optional<BootTime> missingSince; ///< Set while the store has no entry of it.
    std::chrono::microseconds roundTrip { 0 }; ///< Smoothed network distance.

    void noteAnswer(BootTime sentAt)
    {
        lastAnswer = std::max(lastAnswer, sentAt);
        failures = 0;
    }
};

} // namespace kumquatbank
