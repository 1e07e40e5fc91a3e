#include "GroupContext.h"

#include <algorithm>

namespace kumquatbank {

namespace {

    // Maximum wait for a claim in progress. A claim takes a few round trips and at most one call timeout.
    constexpr Milliseconds claimTimeout { 2000 };

    // A superseded process does not claim for this time, so a request that is repeated earlier meets the same holder.
    constexpr Milliseconds retryAfterHolderChange { 100 };
    constexpr Milliseconds retryAfterOutage { 1000 };

} // namespace

GroupContext::GroupContext(DatabaseDefinition groupDefinition, DatabaseGroupOptions groupOptions, CauseLedger& ledger)
    : definition(std::move(groupDefinition))
    , options(std::move(groupOptions))
    , causes(ledger)
    , view(definition.slots.size(), definition.majority())
    , endpoints(makeEndpoints())
    , claim(view, controls(), claimNumber, options.self.address.toString(),
          [this](bool isActive) { onClaimChange(isActive); })
    , promotion(view, controls(), addresses(),
          options.self.address.toString() + "/" + std::to_string(options.self.incarnation))
    , router(view, endpoints, options.self.place)
    , confirmation(view, controls())
    , transactions(definition.name, options.self.incarnation)
{
}

Endpoints GroupContext::makeEndpoints()
{
    Endpoints created;
    for (std::size_t n = 0; n < definition.slots.size(); ++n)
        created.push_back(std::make_unique<Endpoint>(n, definition.slots[n], definition.connectionLimit, options,
            claimNumber, view, [this] { return claim.isHeld(); }));
    return created;
}

std::vector<EndpointControl*> GroupContext::controls() const
{
    std::vector<EndpointControl*> result;
    for (const auto& endpoint : endpoints)
        result.push_back(&endpoint->control());
    return result;
}

std::vector<HostAddress> GroupContext::addresses() const
{
    std::vector<HostAddress> result;
    for (const auto& slot : definition.slots)
        result.push_back(slot.address);
    return result;
}

void GroupContext::onClaimChange(bool isActive)
{
    // The endpoints close connections of lower claims, including those of this process's own previous claim.
    transactions.closeAll();
    for (const auto& endpoint : endpoints) {
        endpoint->pool().suspend();
        if (isActive)
            endpoint->pool().resume();
    }
}

tl::unexpected<Failure> GroupContext::notHolder() const
{
    const auto holder = claim.knownHolder();
    auto failure = notRun(FailureCode::NotHolder,
        "this process does not hold the database" + (holder.empty() ? "" : "; " + holder + " does"),
        Cause::HolderChange);
    failure.value().retryAfter = retryAfterHolderChange;
    return failure;
}

Result<void> GroupContext::waitForClaim(bool isRead, const Deadline& deadline, RequestTrace& trace)
{
    const auto canServe = [&] { return isRead ? claim.allowsReads() : claim.isHeld(); };
    if (canServe())
        return {};
    if (claim.isSuperseded())
        return notHolder();
    claim.request();
    const RequestTrace::Span span(trace, Cause::HolderChange);
    bool isAllowed = false;
    view.waitUntil(deadline.cappedTo(claimTimeout), [&] {
        isAllowed = canServe();
        return isAllowed || claim.isSuperseded();
    });
    if (isAllowed)
        return {};
    if (view.reachableCount() < view.majority()) {
        auto failure = notRun(FailureCode::Unavailable,
            "fewer than a majority of the database's endpoints are reachable", Cause::EndpointDown);
        failure.value().retryAfter = retryAfterOutage;
        return failure;
    }
    return notHolder();
}

Result<LogPosition> GroupContext::confirmChange(const nlohmann::json& reply, const PrimaryView& primary,
    TimePoint sentAt, const Deadline& deadline, RequestTrace& trace)
{
    if (!reply.contains("logTerm") || !reply.contains("position"))
        return mayHaveRun(FailureCode::Internal, "the primary's answer has no log position", Cause::EndpointDown);
    const LogPosition position { reply.at("logTerm").get<Term>(), reply.at("position").get<std::uint64_t>() };
    view.recordPrimaryPosition(primary.term, position, sentAt);
    if (options.confirmByReplica) {
        const RequestTrace::Span span(trace, Cause::ReplicaLag);
        const auto confirmed = confirmation.confirm(primary, position, deadline);
        if (!confirmed)
            return tl::unexpected(confirmed.error());
    }
    failoverGap.recordConfirmedWrite(primary.term);
    return position;
}

Result<PrimaryView> GroupContext::waitForPrimary(Term minimumTerm, const Deadline& deadline, RequestTrace& trace)
{
    std::optional<PrimaryView> primary;
    const auto isMajorityDown = [&] {
        const auto slots = view.slots();
        const auto up = std::ranges::count_if(slots, [](const SlotView& slot) { return !slot.isSuspect; });
        return static_cast<std::size_t>(up) < view.majority();
    };
    const auto hasPrimary = [&] {
        primary = claim.isHeld() ? view.writablePrimary() : std::nullopt;
        if (primary && primary->term < minimumTerm)
            primary.reset();
        return primary.has_value();
    };
    if (hasPrimary())
        return *primary;
    const RequestTrace::Span span(trace, Cause::PrimaryFailover);
    view.waitUntil(deadline, [&] { return hasPrimary() || claim.isSuperseded() || isMajorityDown(); });
    if (primary)
        return *primary;
    if (claim.isSuperseded())
        return notHolder();
    const bool isDown = isMajorityDown();
    auto failure = notRun(FailureCode::Unavailable,
        isDown ? "a majority of the database's endpoints is down" : "no primary was available before the deadline",
        isDown ? Cause::EndpointDown : Cause::PrimaryFailover);
    failure.value().retryAfter = retryAfterOutage;
    return failure;
}

Failure withCause(Failure failure)
{
    if (failure.cause != Cause::None)
        return failure;
    switch (failure.code) {
    case FailureCode::DeadlinePassed:
        failure.cause = Cause::Deadline;
        break;
    case FailureCode::Timeout:
        failure.cause = Cause::EndpointSlow;
        break;
    case FailureCode::Unreachable:
    case FailureCode::ConnectionLost:
    case FailureCode::ConnectionLimit:
        failure.cause = Cause::EndpointDown;
        break;
    case FailureCode::NotPrimary:
    case FailureCode::TermMismatch:
    case FailureCode::Leaving:
        failure.cause = Cause::PrimaryFailover;
        break;
    case FailureCode::Behind:
        failure.cause = Cause::ReplicaLag;
        break;
    case FailureCode::ClaimSuperseded:
    case FailureCode::NotHolder:
        failure.cause = Cause::HolderChange;
        break;
    default:
        break;
    }
    return failure;
}

bool isRetryable(const Failure& failure)
{
    if (failure.verdict != Verdict::NotRun)
        return false;
    switch (failure.code) {
    case FailureCode::NotPrimary:
    case FailureCode::TermMismatch:
    case FailureCode::Leaving:
    case FailureCode::Behind:
    case FailureCode::ClaimSuperseded:
    case FailureCode::NotHolder:
    case FailureCode::ConnectionLimit:
    case FailureCode::Unreachable:
    case FailureCode::ConnectionLost:
        return true;
    default:
        return false;
    }
}

} // namespace kumquatbank
