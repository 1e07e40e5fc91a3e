#pragma once

#include "DatabaseConnection.h"
#include "kumquatbank/routing/ConnectionCache.h"
#include "kumquatbank/routing/DecayingAverage.h"

#include <vector>

namespace kumquatbank {

/// A connection that is not in use.
struct IdleConnection {
    std::unique_ptr<DatabaseConnection> connection;
    BootTime since {};
};

/// State of one database server as recorded by this host, and this host's idle connections to it.
struct Endpoint {
    /// Initial value of the connect time, before the first connection has been opened.
    static constexpr std::chrono::milliseconds initialConnectTime { 30 };

    EndpointEntry entry;
    std::vector<IdleConnection> idle; ///< Most recently used last.
    int open = 0; ///< Connections of this host, idle or in use.
    ConnectionCache cache; ///< Connections and recent use by account.

    BootTime lastAnswer {}; ///< Send time of the newest answered request, of this host or reported by a peer.
    BootTime lastOwnAnswer {}; ///< Send time of the newest answered request of this host.
    int failures = 0; ///< Failures since the last answer.
    BootTime drainingSince {}; ///< When its entry was first marked as draining.
    BootTime servesUntil {}; ///< While draining: no requests of clients after that.
    BootTime unusableUntil {}; ///< No requests until then, after a failed connect.
    BootTime fullUntil {}; ///< No new connections until then, after its connection limit was hit.
    BootTime laggingUntil {}; ///< No reads with a minimum position until then, after it lagged.
    std::chrono::milliseconds lagBackoff { 0 };
    std::optional<BootTime> missingSince; ///< Set while the store has no entry for the endpoint.
    std::chrono::microseconds roundTrip { 0 }; ///< Smoothed network round trip.
    std::chrono::microseconds connectTime { initialConnectTime }; ///< Smoothed time to open a connection.
    DecayingAverage<BootClock> answerTime; ///< Answer time of statements, including the network and the endpoint's queue.

    /// Returns the expected time from sending a statement to its answer.
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
