#pragma once

#include "FloorAccount.h"
#include "MovingAverage.h"
#include "WaitingRequest.h"

#include <string>

namespace kumquatbank {

/// Waiting and running requests of one entry at one endpoint.
struct EntryQueue {
    std::string entry;
    std::string owner;
    Rank rank = Rank::Background;
    double floorShare = 0; ///< Fraction of the capacity, 0 to 0.9.
    std::list<std::shared_ptr<WaitingRequest>> waiting;
    std::size_t running = 0;
    MovingAverage serviceMs;
    FloorAccount floor;
    double startTag = 0; ///< Start tag of fair queueing: connection time received in seconds.
    double indexKey = 0; ///< Current key of the queue in the RankQueue's order index.
};

} // namespace kumquatbank
