#pragma once

#include "HolderService.h"

#include <map>
#include <mutex>
#include <semaphore>

namespace kumquatbank {

/// Brings a caller's request from this ingress process to the holder of its database. Thread-safe.
class ForwardingRouter {
public:
    /// @param maxWaiting requests that may wait for a holder at the same time; further ones are refused.
    ForwardingRouter(HostIdentity self, Membership& membership, PeerClient& peers, HolderService& holder,
        CauseLedger& causes, std::ptrdiff_t maxWaiting);

    /// Runs the request at the holder and returns its final answer. While no process holds the database the
    /// request is routed again until its deadline. A request whose forwarding was interrupted is repeated only
    /// when it is a read or carries an idempotency key.
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
