#pragma once

#include "CatalogueReader.h"
#include "LeavingNotices.h"
#include "ProbeQueue.h"
#include "kumquatbank/platform/platform.h"

#include <functional>
#include <thread>

namespace kumquatbank {

/// Watches the platform for the other processes of its place while it is one of the place's relays: catalogue
/// changes by long poll, the host list at an interval. While the platform is down it keeps what it has;
/// PlatformClient spreads the calls of all relays with its backoff.
class CatalogueRelay {
public:
    /// @p isRelay says whether this process is a relay now.
    CatalogueRelay(Catalogue& catalogue, CatalogueReader& reader, LeavingNotices& notices, ProbeQueue& probes,
        PlatformClient& platform, Milliseconds watchTime, Milliseconds hostListInterval,
        std::function<bool()> isRelay);

    void start();
    void stop();

private:
    void run(const std::stop_token& stop);
    bool step();
    bool readHosts();
    bool listAll();
    bool watch();

    Catalogue& m_catalogue;
    CatalogueReader& m_reader;
    LeavingNotices& m_notices;
    ProbeQueue& m_probes;
    PlatformClient& m_platform;
    const Milliseconds m_watchTime;
    const Milliseconds m_hostListInterval;
    const std::function<bool()> m_isRelay;
    std::uint64_t m_cursor = 0; ///< Store revision up to which the catalogue copy is known to be complete.
    bool m_needsList = false;
    TimePoint m_nextHostList {};
    std::jthread m_thread;
};

} // namespace kumquatbank
