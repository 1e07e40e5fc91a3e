#pragma once

#include "kumquatbank/causes/CauseLedger.h"
#include "kumquatbank/platform/platform.h"

#include <functional>
#include <memory>

namespace kumquatbank {

/// Writes the ledger to the platform: one object per hour and process run, replaced in place. Also removes
/// objects older than a day. Owns one thread.
class CauseFlusher {
public:
    /// @param hostCount current number of hosts; the interval is max(10 s, hosts / 20 s).
    CauseFlusher(CauseLedger& ledger, PlatformClient& platform, HostIdentity self,
        std::function<std::size_t()> hostCount);
    ~CauseFlusher();
    CauseFlusher(const CauseFlusher&) = delete;
    CauseFlusher& operator=(const CauseFlusher&) = delete;

    void start();

    /// Writes what is unsaved, waiting at most @p limit, and ends the thread.
    void stop(Milliseconds limit);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace kumquatbank
