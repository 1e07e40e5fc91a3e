#pragma once

#include "kumquatbank/core/BootClock.h"

#include <optional>
#include <vector>

namespace kumquatbank {

/// Tokens of one account that were received from another host and expire.
class TokenStock {
public:
    /// @p requestedAt: when this host asked for them; not before that of earlier ones.
    void add(double count, BootTime requestedAt, std::chrono::milliseconds validity);
    double count(BootTime now);
    /// Removes up to @p wanted tokens, the oldest first, and returns how many.
    double take(double wanted, BootTime now);
    /// Removes one token, the oldest, and returns when it was requested; empty if there is no whole one.
    std::optional<BootTime> takeOne(BootTime now);
    void clear() { m_lots.clear(); }

private:
    struct Lot {
        double count = 0;
        BootTime requestedAt {};
        BootTime expiresAt {};
    };

    void removeExpired(BootTime now);

    /// The oldest first; few. A vector, because an empty std::deque takes 0.6 KB, for each account on each host.
    std::vector<Lot> m_lots;
};

} // namespace kumquatbank
