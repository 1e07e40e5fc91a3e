#pragma once

#include "kumquatbank/core/core.h"

#include <map>
#include <vector>

namespace kumquatbank {

/// Addresses whose rows changed and are piggybacked on the next messages. Bounded; not thread-safe.
class UpdateQueue {
public:
    /// Queues @p address to be sent from now on; a queued one starts again from zero. When the queue is
    /// full the address sent most often is dropped: digests repair what a peer missed.
    void add(const HostAddress& address);

    /// The addresses sent least often so far, at most @p count; each leaves the queue after @p maxSends.
    std::vector<HostAddress> take(std::size_t count, unsigned maxSends);

    std::size_t size() const { return m_sends.size(); }

private:
    std::map<HostAddress, unsigned> m_sends;
};

} // namespace kumquatbank
