#pragma once

#include "DatabaseConnection.h"
#include "kumquatbank/routing/DecayingAverage.h"

#include <vector>

namespace kumquatbank {

/// A connection that serves no session now.
struct IdleConnection {
    std::unique_ptr<DatabaseConnection> connection;
    BootTime since {};
};

/// One database server as this host knows it, with this host's idle connections to it.
struct Endpoint {
    /// Taken for the time of opening a connection before one was opened.
    static constexpr std::chrono::milliseconds initialConnectTime { 30 };

    EndpointEntry entry;
    std::vector<IdleConnection> idle; ///< The one that was used last at the end.
    int open = 0; ///< Connections of this host, idle or in use.

    BootTime lastAnswer {}; ///< When the newest request that it answered was sent, by this host or by one that told it.
    BootTime lastOwnAnswer {}; ///< The same for requests of this host.
    int failures = 0; ///< Since the last answer.
    BootTime drainingSince {}; ///< When it was first seen to be about to leave.
    BootTime unusableUntil {}; ///< No new work until then, after a failed connect.
    BootTime fullUntil {}; ///< No new connections until then, after one was refused for their number.
    BootTime laggingUntil {}; ///< No reads with a floor until then, after it lacked a position.
    std::chrono::milliseconds lagBackoff { 0 };
    std::optional<BootTime> missingSince; ///< Set while the store has no entry of it.
    std::chrono::microseconds roundTrip { 0 }; ///< Smoothed network distance.
    std::chrono::microseconds connectTime { initialConnectTime }; ///< Smoothed, of a new connection.
    DecayingAverage<BootClock> answerTime; ///< Of statements, with the network and the endpoint's queue.

    /// Expected time of a statement until its answer.
    std::chrono::microseconds expectedAnswerTime(BootTime now) const
    {
        return std::max(roundTrip, std::chrono::duration_cast<std::chrono::microseconds>(answerTime.at(now)));
    }

    void recordAnswer(BootTime sentAt)
    {
        lastAnswer = std::max(lastAnswer, sentAt);
        lastOwnAnswer = std::max(lastOwnAnswer, sentAt);
        failures = 0;
    }
};

} // namespace kumquatbank
