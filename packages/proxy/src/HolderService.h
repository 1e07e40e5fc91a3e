#pragma once

#include "ForwardMessage.h"
#include "GroupRegistry.h"
#include "RequestResolver.h"

namespace kumquatbank {

/// Runs requests as the holder of their database, and decides when this process has to become the holder.
/// Thread-safe.
class HolderService {
public:
    HolderService(HostIdentity self, GroupRegistry& registry, Membership& membership, PeerClient& peers);

    /// Runs the request here, relays it to the holder, or takes the database over when no better candidate
    /// serves it. NotRun/NotHolder when none of these is possible now.
    ForwardReply run(const ForwardMessage& message, const ResolvedRequest& resolved);

private:
    ForwardReply runTransaction(const ResolvedRequest& resolved);
    ForwardReply runInGroup(DatabaseGroup& group, const ResolvedRequest& resolved);
    std::optional<HostAddress> findServingCandidate(const ForwardMessage& message, const ResolvedRequest& resolved);
    ForwardReply relay(const HostAddress& holder, const ForwardMessage& message, const ResolvedRequest& resolved);

    const HostIdentity m_self;
    GroupRegistry& m_registry;
    Membership& m_membership;
    PeerClient& m_peers;
};

/// Sends @p message to @p peer with the time that the request has left.
ForwardReply sendForward(
    PeerClient& peers, const HostIdentity& self, const HostAddress& peer, const ForwardMessage& message);

/// True for a commit with an idempotency key whose transaction is gone: an earlier try may have run, and the
/// database's present holder can settle it by the key.
bool isUnresolvedCommit(const ForwardReply& reply, const CallerRequest& request);

/// Failure of a request for which no process holds the database at present.
ForwardReply notHolderReply(const std::string& database, bool hasDeclined);

} // namespace kumquatbank
