#pragma once

#include "ForwardMessage.h"
#include "GroupRegistry.h"
#include "RequestResolver.h"

namespace kumquatbank {

/// Runs requests as the holder of their database, and decides when this process must become the holder.
/// Thread-safe.
class HolderService {
public:
    HolderService(HostIdentity self, GroupRegistry& registry, Membership& membership, PeerClient& peers);

    /// Runs the request locally, relays it to the holder, or takes over the database if no higher-ranked candidate
    /// serves it. NotRun/NotHolder if none of these is currently possible.
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

/// Sends @p message to @p peer with the request's remaining time as timeout.
ForwardReply sendForward(
    PeerClient& peers, const HostIdentity& self, const HostAddress& peer, const ForwardMessage& message);

/// True for a commit with an idempotency key whose transaction is no longer reachable: an earlier try may have run,
/// and the current holder of the database can determine its outcome by the key.
bool isUnresolvedCommit(const ForwardReply& reply, const CallerRequest& request);

/// Failure of a request whose database is currently not held by any process.
ForwardReply notHolderReply(const std::string& database, bool hasDeclined);

} // namespace kumquatbank
