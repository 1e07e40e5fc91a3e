#include "ForwardingRouter.h"

#include <algorithm>
#include <span>
#include <thread>

namespace kumquatbank {

namespace {

    constexpr std::size_t maxCandidates = 3;
    constexpr Milliseconds rerouteInterval { 50 };

    // Time until a peer that did not answer is tried again; until then the next candidate probes it.
    constexpr Milliseconds avoidDuration { 2000 };
    constexpr Milliseconds retryAfterHolderChange { 500 };

    const log4cxx::LoggerPtr& logger()
    {
        static const auto instance = partLogger("router");
        return instance;
    }

    bool isRepeatable(const CallerRequest& request)
    {
        if (!request.idempotencyKey.empty())
            return request.kind == RequestKind::Commit
                || (request.kind == RequestKind::Write && request.transaction.empty());
        return request.kind == RequestKind::Read && request.transaction.empty();
    }

    /// True if the request can be rerouted safely and another holder may serve it.
    bool shouldRouteAgain(const ForwardReply& reply, const CallerRequest& request)
    {
        if (reply.answer)
            return false;
        const auto& failure = reply.answer.error();
        if (failure.verdict == Verdict::NotRun)
            return reply.isLinkFailure || failure.code == FailureCode::NotHolder
                || failure.code == FailureCode::ClaimSuperseded;
        return reply.isLinkFailure && isRepeatable(request);
    }

} // namespace

ForwardingRouter::ForwardingRouter(HostIdentity self, Membership& membership, PeerClient& peers,
    HolderService& holder, CauseLedger& causes, std::ptrdiff_t maxWaiting)
    : m_self(std::move(self))
    , m_membership(membership)
    , m_peers(peers)
    , m_holder(holder)
    , m_causes(causes)
    , m_waitPermits(maxWaiting)
{
}

Result<CallerAnswer> ForwardingRouter::route(const ResolvedRequest& resolved)
{
    const auto start = Clock::now();
    const auto waited = [&] { return std::chrono::duration_cast<Milliseconds>(Clock::now() - start); };
    bool mayHaveRun = false;
    if (resolved.transactionHost) {
        const ForwardMessage message { resolved.request, 0, {}, {} };
        auto reply = sendTo(*resolved.transactionHost, message, resolved);
        if (!isUnresolvedCommit(reply, resolved.request))
            return finish(resolved, std::move(reply), waited());
        mayHaveRun = isUncertain(reply);
    }

    auto reply = tryCandidates(resolved);
    mayHaveRun = mayHaveRun || isUncertain(reply);
    if (shouldRouteAgain(reply, resolved.request) && m_waitPermits.try_acquire()) {
        while (shouldRouteAgain(reply, resolved.request) && !resolved.request.deadline.hasPassed()) {
            std::this_thread::sleep_for(std::min(rerouteInterval, resolved.request.deadline.remaining()));
            reply = tryCandidates(resolved);
            mayHaveRun = mayHaveRun || isUncertain(reply);
        }
        m_waitPermits.release();
    }
    // A later attempt that did not run does not prove that an earlier one did not run either, unless the holder
    // resolved it.
    const bool isResolved = !reply.answer && !reply.isLinkFailure
        && reply.answer.error().code == FailureCode::UnknownTransaction;
    if (mayHaveRun && !reply.answer && !isResolved)
        reply.answer.error().verdict = Verdict::MayHaveRun;
    return finish(resolved, std::move(reply), waited());
}

ForwardReply ForwardingRouter::tryCandidates(const ResolvedRequest& resolved)
{
    ForwardMessage message { resolved.request, 0, {}, {} };
    ForwardReply reply = notHolderReply(resolved.database->name, false);
    const auto candidates = m_membership.holderCandidates(*resolved.database);
    for (const auto& candidate : std::span(candidates).first(std::min(maxCandidates, candidates.size()))) {
        const bool isSelf = candidate.address == m_self.address;
        if (!isSelf && isAvoided(candidate.address)) {
            message.unreachable.push_back(candidate.address);
            continue;
        }
        reply = sendTo(candidate.address, message, resolved);
        if (reply.answer)
            return reply;
        if (reply.hasDeclined)
            message.declined.push_back(candidate.address);
        else if (reply.isLinkFailure && reply.answer.error().verdict == Verdict::NotRun)
            message.unreachable.push_back(candidate.address);
        else
            return reply;
    }
    return reply;
}

ForwardReply ForwardingRouter::sendTo(
    const HostAddress& candidate, const ForwardMessage& message, const ResolvedRequest& resolved)
{
    if (candidate == m_self.address)
        return m_holder.run(message, resolved);
    auto outgoing = message;
    if (resolved.transactionHost)
        outgoing.request.transaction
            = RequestResolver::qualifyTransaction(*resolved.transactionHost, resolved.request.transaction);
    auto reply = sendForward(m_peers, m_self, candidate, outgoing);
    if (reply.isLinkFailure) {
        LOG4CXX_WARN(logger(), "peer " << candidate.toString() << " did not answer: " << reply.answer.error().message);
        avoid(candidate);
        m_membership.reportUnreachable(candidate);
    }
    return reply;
}

Result<CallerAnswer> ForwardingRouter::finish(
    const ResolvedRequest& resolved, ForwardReply reply, Milliseconds waited)
{
    if (reply.answer)
        return std::move(reply.answer);
    auto& failure = reply.answer.error();
    failure.entry = resolved.entry->name;
    failure.owner = resolved.entry->owner;
    const bool isRoutingFailure = reply.isLinkFailure || failure.code == FailureCode::NotHolder;
    if (!isRoutingFailure)
        return std::move(reply.answer);
    failure.code = FailureCode::Unavailable;
    failure.cause = Cause::HolderChange;
    failure.retryAfter = retryAfterHolderChange;
    m_causes.recordRefusal({ resolved.entry->name, resolved.entry->owner, resolved.entry->rank,
                               resolved.database->name, m_self.place, Cause::HolderChange },
        waited);
    return std::move(reply.answer);
}

bool ForwardingRouter::isAvoided(const HostAddress& peer)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_avoidedUntil.find(peer);
    if (it == m_avoidedUntil.end())
        return false;
    if (Clock::now() < it->second)
        return true;
    m_avoidedUntil.erase(it);
    return false;
}

void ForwardingRouter::avoid(const HostAddress& peer)
{
    const std::lock_guard lock(m_mutex);
    m_avoidedUntil[peer] = Clock::now() + avoidDuration;
}

} // namespace kumquatbank
