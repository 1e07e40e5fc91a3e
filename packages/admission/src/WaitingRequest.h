#pragma once

#include "kumquatbank/core/core.h"

#include <condition_variable>
#include <cstdint>
#include <list>
#include <memory>

namespace kumquatbank {

struct EntryQueue;

/// A request waiting for a connection. Guarded by the controller's mutex.
struct WaitingRequest {
    enum class State {
        Waiting,
        Granted,
        Evicted, ///< Removed from a full queue in favour of an entry with fewer waiting requests.
    };

    State state = State::Waiting;
    Rank rank = Rank::Background;
    std::uint64_t sequence = 0; ///< Order of arrival.
    TimePoint grantedAt;
    EntryQueue* queue = nullptr;
    std::list<std::shared_ptr<WaitingRequest>>::iterator position;
    std::condition_variable changed;
};

} // namespace kumquatbank
