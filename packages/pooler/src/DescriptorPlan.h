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

    /// Part of the process's memory, in percent, that bytes of clients may take which the kernel has received and nobody has
    /// read: they count toward the memory of the host. Half of the memory is the MemoryBudget.
    static constexpr std::size_t unreadPercent = 25;

    /// Bytes that the kernel may keep for each client, if all of them send without reading answers.
    std::size_t unreadBytesPerClient(std::size_t memoryMb) const
    {
        constexpr std::size_t leastBytes = 4096;
        constexpr std::size_t mostBytes = 128 << 10;
        return std::clamp((memoryMb << 20) * unreadPercent / 100 / std::max<std::size_t>(1, clients), leastBytes, mostBytes);
    }

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
