#pragma once

#include "kumquatbank/core/BootClock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace kumquatbank {

/// What a host counts in its own registration.
struct HostRenewal {
    std::uint64_t incarnation = 0; ///< Drawn at random by each run of the host's process.
    std::uint64_t count = 0; ///< Renewals of this incarnation.

    bool operator==(const HostRenewal&) const = default;
};

/// Which registered hosts still renew their registrations.
///
/// Judged by the renewals that the hosts count themselves, not by the store's revisions: when the store comes back from an
/// older copy, every entry gets another revision, and entries of hosts that have left appear again.
class HostLiveness {
public:
    /// Records a host's registration, as listed at @p now. Only a renewal that was not seen before is a sign of life.
    void record(const std::string& host, HostRenewal renewal, BootTime now);

    /// True if the host has not renewed its registration for @p expiry. False for a host that was never recorded.
    bool hasExpired(const std::string& host, BootTime now, std::chrono::milliseconds expiry) const;

    /// Time since the newest renewal of the host was first seen; 0 for a host that was never recorded.
    std::chrono::milliseconds sinceRenewal(const std::string& host, BootTime now) const;

    /// Removes hosts that were not listed for @p retention, which must cover the age of a copy of the store.
    void forgetUnlisted(BootTime now, std::chrono::milliseconds retention);

private:
    struct Observation {
        HostRenewal renewal;
        BootTime renewedAt {};
        BootTime listedAt {};
    };

    std::map<std::string, Observation> m_hosts;
};

} // namespace kumquatbank
