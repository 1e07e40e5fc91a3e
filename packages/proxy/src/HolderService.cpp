#include "HolderService.h"

#include <algorithm>
#include <thread>

namespace kumquatbank {

namespace {

    // One hop to a higher-ranked candidate and one to the process that superseded it.
    constexpr unsigned maxHops = 2;

    constexpr Milliseconds pingTimeout { 300 };

    // Claiming needs one connection to each slot; the request is declined if the claim takes longer than this.
    constexpr Milliseconds claimTimeout { 1000 };
    constexpr Milliseconds claimPollInterval { 5 };

    // The holder's final answer can arrive shortly after the caller's deadline.
    constexpr Milliseconds answerMargin { 50 };

    bool waitUntilHolder(const DatabaseGroup& group, const Deadline& deadline)
    {
        while (!group.isHolder()) {
            if (deadline.hasPassed())
                return false;
            std::this_thread::sleep_for(claimPollInterval);
        }
        return true;
    }

} // namespace

bool isUnresolvedCommit(const ForwardReply& reply, const CallerRequest& request)
{
    if (reply.answer || request.kind != RequestKind::Commit || request.idempotencyKey.empty())
        return false;
    return reply.isLinkFailure || reply.answer.error().code == FailureCode::UnknownTransaction;
}

ForwardReply sendForward(
    PeerClient& peers, const HostIdentity& self, const HostAddress& peer, const ForwardMessage& message)
{
    const auto timeout = message.request.deadline.remaining() + answerMargin;
    const auto body
        = peers.call(peer, PeerMessage { PeerMessageType::Forward, self, encodeForward(message) }, timeout);
    if (!body)
        return { tl::unexpected(body.error()), false, true };
    return decodeReply(*body);
}

ForwardReply notHolderReply(const std::string& database, bool hasDeclined)
{
    return { notRun(FailureCode::NotHolder, "no process currently holds database '" + database + "'",
                 Cause::HolderChange),
        hasDeclined, false };
}

HolderService::HolderService(
    HostIdentity self, GroupRegistry& registry, Membership& membership, PeerClient& peers)
    : m_self(std::move(self))
    , m_registry(registry)
    , m_membership(membership)
    , m_peers(peers)
{
}

ForwardReply HolderService::run(const ForwardMessage& message, const ResolvedRequest& resolved)
{
    if (resolved.transactionHost == m_self.address) {
        auto reply = runTransaction(resolved);
        if (!isUnresolvedCommit(reply, resolved.request))
            return reply;
    }

    auto group = m_registry.find(resolved.database->name);
    if (group && group->isHolder())
        return runInGroup(*group, resolved);
    if (group) {
        const auto successor = HostAddress::parse(group->knownHolder());
        if (successor && *successor != m_self.address && message.hopCount < maxHops) {
            auto reply = relay(*successor, message, resolved);
            // A request that may have run at the successor must not run here too; the ingress process decides on
            // a retry.
            if (!reply.isLinkFailure || isUncertain(reply))
                return reply;
            // The successor is unreachable. This process may have to pause before its next claim, but other
            // candidates do not have to.
            return notHolderReply(resolved.database->name, true);
        }
    } else {
        if (const auto candidate = findServingCandidate(message, resolved))
            return message.hopCount < maxHops ? relay(*candidate, message, resolved)
                                              : notHolderReply(resolved.database->name, false);
        group = m_registry.takeOver(resolved.database->name);
    }
    if (!group)
        return notHolderReply(resolved.database->name, true);
    if (!waitUntilHolder(*group, resolved.request.deadline.cappedTo(claimTimeout)))
        return notHolderReply(resolved.database->name, true);
    return runInGroup(*group, resolved);
}

ForwardReply HolderService::runTransaction(const ResolvedRequest& resolved)
{
    ForwardReply reply { notRun(FailureCode::UnknownTransaction,
        "the transaction is not open at this process; it was rolled back", Cause::HolderChange) };
    for (const auto& group : m_registry.findAll(resolved.database->name)) {
        reply = { group->run(resolved.request, *resolved.entry, resolved.session, resolved.position.index,
            resolved.position.count) };
        const bool isUnknown = !reply.answer && reply.answer.error().code == FailureCode::UnknownTransaction;
        if (!isUnknown)
            return reply;
    }
    return reply;
}

ForwardReply HolderService::runInGroup(DatabaseGroup& group, const ResolvedRequest& resolved)
{
    auto answer = resolved.transactionHost
        ? group.resolveCommit(resolved.request, *resolved.entry, resolved.session)
        : group.run(
            resolved.request, *resolved.entry, resolved.session, resolved.position.index, resolved.position.count);
    if (answer && !answer->transaction.empty())
        answer->transaction = RequestResolver::qualifyTransaction(m_self.address, answer->transaction);
    return { std::move(answer) };
}

std::optional<HostAddress> HolderService::findServingCandidate(
    const ForwardMessage& message, const ResolvedRequest& resolved)
{
    for (const auto& candidate : m_membership.holderCandidates(*resolved.database)) {
        if (candidate.address == m_self.address)
            return std::nullopt;
        if (std::ranges::find(message.declined, candidate.address) != message.declined.end())
            continue;
        if (m_peers.callFresh(candidate.address, PeerMessage { PeerMessageType::Ping, m_self, {} }, pingTimeout))
            return candidate.address;
        m_membership.reportUnreachable(candidate.address);
    }
    return std::nullopt;
}

ForwardReply HolderService::relay(
    const HostAddress& holder, const ForwardMessage& message, const ResolvedRequest& resolved)
{
    auto next = message;
    next.request = resolved.request;
    if (resolved.transactionHost)
        next.request.transaction
            = RequestResolver::qualifyTransaction(*resolved.transactionHost, resolved.request.transaction);
    ++next.hopCount;
    return sendForward(m_peers, m_self, holder, next);
}

} // namespace kumquatbank
