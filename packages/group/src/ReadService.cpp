#include "ReadService.h"

namespace kumquatbank {

namespace {

    // Pause before failed slots are tried again.
    constexpr Milliseconds retryPause { 20 };

} // namespace

ReadService::ReadService(GroupContext& parts)
    : m_context(parts)
{
}

Result<CallerAnswer> ReadService::run(const CallerRequest& request, const CatalogueEntry& entry,
    const SessionToken& session, RequestTrace& trace)
{
    const auto required = session.required(m_context.definition.name);
    std::set<std::size_t> failedSlots;
    std::set<std::size_t> triedSlots;
    std::optional<std::size_t> lostAnswerSlot; ///< Slot of the last attempt if its answer was lost.
    std::optional<Failure> lastFailure;
    for (;;) {
        // When every slot has failed, or the remaining ones cannot serve the read, the failed slots are tried again.
        const auto waitLimit = failedSlots.empty() ? request.deadline : request.deadline.cappedTo(retryPause);
        const auto route = m_context.router.selectRoute(entry, required, failedSlots, waitLimit, trace);
        if (!route && (failedSlots.empty() || request.deadline.hasPassed()))
            return tl::unexpected(lastFailure.value_or(route.error()));
        if (!route) {
            failedSlots.clear();
            continue;
        }
        auto& endpoint = *m_context.endpoints[route->slot];
        const bool isFirstVisit = triedSlots.insert(route->slot).second;
        if (isFirstVisit)
            endpoint.retries().recordFirstTry();
        // A read that obtained no connection or was refused at another slot adds no load here. A read whose answer
        // was lost has already used the service time of one endpoint, so its retry counts against the budget of the
        // endpoint that lost the answer.
        const bool isAllowed = lostAnswerSlot ? m_context.endpoints[*lostAnswerSlot]->retries().tryRetry()
                                              : isFirstVisit || endpoint.retries().tryRetry();
        if (!isAllowed && lostAnswerSlot)
            return tl::unexpected(*lastFailure);
        if (!isAllowed) {
            failedSlots.insert(route->slot);
            continue;
        }

        auto answer = attempt(request, entry, session, *route, trace);
        if (answer)
            return answer;
        const auto& failure = answer.error();
        // A read has no effect on data, so after a lost answer it can run again at another slot.
        const bool isLost = failure.verdict == Verdict::MayHaveRun;
        if (request.deadline.hasPassed() || !(isLost || isRetryable(failure)))
            return answer;
        if (failure.code == FailureCode::ClaimSuperseded)
            endpoint.prober().requestProbe();
        const auto claimed = m_context.waitForClaim(true, request.deadline, trace);
        if (!claimed)
            return tl::unexpected(claimed.error());
        lostAnswerSlot = isLost ? std::optional(route->slot) : std::nullopt;
        lastFailure = failure;
        failedSlots.insert(route->slot);
    }
}

Result<CallerAnswer> ReadService::attempt(const CallerRequest& request, const CatalogueEntry& entry,
    const SessionToken& session, const ReadRoute& route, RequestTrace& trace)
{
    auto& endpoint = *m_context.endpoints[route.slot];
    auto connection = endpoint.acquireConnection(entry, request.deadline, trace);
    if (!connection)
        return tl::unexpected(withCause(connection.error()));
    const auto primary = m_context.view.primary();
    const bool isPrimary = primary && primary->slot == route.slot;
    const RequestTrace::Span span(trace, Cause::EndpointSlow);
    const auto reply = connection->lease.call("execute",
        { { "term", primary ? primary->term : 0 }, { "kind", "read" }, { "statement", request.statement },
            { "minTerm", route.minimum.term }, { "minPosition", route.minimum.position } },
        request.deadline);
    if (!reply)
        return tl::unexpected(withCause(reply.error()));
    CallerAnswer answer;
    answer.requestId = request.requestId;
    answer.result = { { "rows", reply->value("rows", nlohmann::json::array()) } };
    answer.session = session.encode();
    answer.servedBy = isPrimary ? ServedBy::Primary : ServedBy::Replica;
    return answer;
}

} // namespace kumquatbank
