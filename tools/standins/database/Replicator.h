#pragma once

#include "DelayedApplier.h"
#include "LineSocket.h"

#include <atomic>
#include <thread>

namespace kumquatbank::standin {

/// Pulls records from the primary that the node follows. While the primary of the first term is unknown, it
/// tries the peers in turn.
class Replicator {
public:
    Replicator(DatabaseNode& node, const FaultInjector& faults, HostAddress self, std::vector<HostAddress> peers);
    ~Replicator();
    Replicator(const Replicator&) = delete;
    Replicator& operator=(const Replicator&) = delete;

    /// Ends the threads; the node and the faults must be stopped before. Idempotent.
    void stop();

private:
    void run();

    /// Pulls until the target changes or the connection fails.
    void pullFrom(const HostAddress& primary, const FollowTarget& target);

    const HostAddress m_self;
    const std::vector<HostAddress> m_peers;
    DatabaseNode& m_node;
    const FaultInjector& m_faults;
    DelayedApplier m_applier;
    std::atomic<bool> m_isStopped { false };
    std::thread m_thread;
};

} // namespace kumquatbank::standin
