#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>

namespace kumquatbank {

/// How the descriptors of a process are divided. What is left is for connections that the process opens itself: to databases,
/// lenders, peers and the store.
struct DescriptorPlan {
    /// Kept for files: log, settings, libraries, timers and sockets of the event loop.
    static constexpr int fileReserve = 200;
    /// Leaves a few descriptors for each use.
    static constexpr int minLimit = 264;

    std::size_t clients = 0;
    std::size_t peers = 0; ///< Accepted from other hosts at the peer address.
    std::size_t loans = 0; ///< Accepted from borrowers.
    std::size_t probes = 0; ///< Accepted at the address of the ready probe, and as many at that of metrics.

    /// Descriptors that this process may open: the setting, but no more than the system grants.
    static int processLimit(std::optional<int> setting);

    /// Five eighths are for clients, an eighth for borrowers, a sixteenth for peers. In a deployment of 87 hosts, a host has
    /// up to 28 peers, and 56 connections to each of 24 endpoints are shared by all.
    static constexpr DescriptorPlan of(int limit)
    {
        const int rest = limit >= minLimit ? limit - fileReserve : std::max(8, limit / 4);
        const auto part = [rest](int divisor, int atLeast, int atMost) { return static_cast<std::size_t>(std::clamp(rest / divisor, atLeast, atMost)); };
        return { static_cast<std::size_t>(rest) * 5 / 8, part(16, 4, 1024), part(8, 4, 1024), part(32, 2, 16) };
    }
};

} // namespace kumquatbank
