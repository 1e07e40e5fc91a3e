#pragma once

#include "HolderService.h"

#include <map>
#include <mutex>
#include <semaphore>

namespace kumquatbank {

/// Forwards a caller's request from this ingress process to the holder of its database. Thread-safe.
class ForwardingRouter {
public:
    /// @param maxWaiting maximum number of requests that wait for a holder concurrently; further ones are refused.
    ForwardingRouter(HostIdentity self, Membership& membership, PeerClient& peers, HolderService& holder,
        CauseLedger& causes, std::ptrdiff_t maxWaiting);

    /// Runs the request at the holder and returns its final answer. While no process holds the database, the
    /// request is rerouted until its deadline. A request whose forwarding was interrupted is repeated only if it
    /// is a read or has an idempotency key.
    Result<CallerAnswer> route(const ResolvedRequest& resolved);

private:
    ForwardReply tryCandidates(const ResolvedRequest& resolved);
    ForwardReply sendTo(const HostAddress& candidate, const ForwardMessage& message, const ResolvedRequest& resolved);
    Result<CallerAnswer> finish(const ResolvedRequest& resolved, ForwardReply reply, Milliseconds waited);
    bool isAvoided(const HostAddress& peer);
    void avoid(const HostAddress& peer);

    const HostIdentity m_self;
    Membership& m_membership;
    PeerClient& m_peers;
    HolderService& m_holder;
    CauseLedger& m_causes;
    std::counting_semaphore<> m_waitPermits;
    std::mutex m_mutex;
    std::map<HostAddress, TimePoint> m_avoidedUntil;
};

} // namespace kumquatbank
