#pragma once

#include "DatabaseConnection.h"

#include <vector>

namespace kumquatbank {

/// One database server as this host knows it, with this host's idle connections to it.
struct Endpoint {
    EndpointEntry entry;
    std::vector<std::unique_ptr<DatabaseConnection>> idle;

    BootTime lastAnswer {}; ///< When the newest request that it answered was sent.
    BootTime lastFailure {}; ///< Newest failed connect, broken connection or missing answer.
    int failures = 0; ///< Since the last answer.
    BootTime unusableUntil {}; ///< No new work until then, after a failure or a refused connection.
    BootTime laggingUntil {}; ///< No reads with a floor until then, after it lacked a position.
    std::chrono::milliseconds lagBackoff { 0 };
    std::optional<BootTime> missingSince; ///< Set while the store has no entry of it.
    std::chrono::microseconds roundTrip { 0 }; ///< Smoothed time of exchanges that run no statement.
    LogPosition position; ///< Newest that it reported.
    int connectionLimit = 1;

    void noteAnswer(BootTime sentAt)
    {
        lastAnswer = std::max(lastAnswer, sentAt);
        failures = 0;
    }
};

} // namespace kumquatbank
