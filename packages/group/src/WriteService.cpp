#include "WriteService.h"

namespace kumquatbank {

namespace {

    // Pause before the same primary is tried again, while its role or its claim is changing.
    constexpr Milliseconds retryPause { 20 };

} // namespace

WriteService::WriteService(GroupContext& parts)
    : m_context(parts)
{
}

Result<CallerAnswer> WriteService::run(const CallerRequest& request, const CatalogueEntry& entry,
    const SessionToken& session, RequestTrace& trace)
{
    std::optional<Failure> uncertainFailure; // Of an attempt that may have run; only with an idempotency key.
    std::optional<PrimaryView> lastTried;
    Term minimumTerm = 0;
    bool wasSent = false; ///< The last attempt reached the endpoint.
    for (;;) {
        const auto primary = m_context.waitForPrimary(minimumTerm, request.deadline, trace);
        if (!primary)
            return tl::unexpected(uncertainFailure.value_or(primary.error()));
        auto& endpoint = *m_context.endpoints[primary->slot];
        const bool isSamePrimary = lastTried && lastTried->slot == primary->slot && lastTried->term == primary->term;
        if (!isSamePrimary)
            endpoint.retries().recordFirstTry();
        if (isSamePrimary) {
            const RequestTrace::Span span(trace, Cause::PrimaryFailover);
            m_context.view.waitUntil(request.deadline.cappedTo(retryPause), [] { return false; });
            if (request.deadline.hasPassed())
                return tl::unexpected(uncertainFailure.value_or(
                    notRun(FailureCode::Unavailable, "no primary was available before the deadline",
                        Cause::PrimaryFailover)
                        .value()));
            // An attempt that obtained no connection sent nothing, so it does not count against the retry budget.
            if (wasSent && !endpoint.retries().tryRetry())
                continue;
        }
        lastTried = *primary;

        auto answer = attempt(request, entry, session, *primary, trace);
        if (answer)
            return answer;
        const auto& failure = answer.error();
        if (failure.verdict == Verdict::MayHaveRun) {
            const bool canRepeat = !request.idempotencyKey.empty()
                && waitForReplacement(*primary, Clock::now(), request.deadline);
            if (!canRepeat)
                return answer;
            uncertainFailure = failure;
            minimumTerm = primary->term + 1;
            continue;
        }
        if (failure.code == FailureCode::StatementError)
            return answer; // The primary of a greater term has no record of the key, so no attempt has run.
        if (!isRetryable(failure))
            return tl::unexpected(uncertainFailure.value_or(failure));
        wasSent = failure.code != FailureCode::Unreachable && failure.code != FailureCode::ConnectionLost;
        endpoint.prober().requestProbe();
    }
}

bool WriteService::waitForReplacement(
    const PrimaryView& primary, TimePoint failedAt, const Deadline& deadline) const
{
    m_context.endpoints[primary.slot]->prober().requestProbe();
    bool isReplaced = false;
    m_context.view.waitUntil(deadline, [&] {
        const auto current = m_context.view.primary();
        isReplaced = current && current->term > primary.term;
        const auto slot = m_context.view.slot(primary.slot);
        const bool isHealthy = slot.statusAt > failedAt && slot.isPrimary && !slot.isLeaving
            && m_context.view.greatestTerm() == primary.term;
        return isReplaced || isHealthy || m_context.claim.isSuperseded();
    });
    return isReplaced;
}

Result<CallerAnswer> WriteService::attempt(const CallerRequest& request, const CatalogueEntry& entry,
    const SessionToken& session, const PrimaryView& primary, RequestTrace& trace)
{
    auto connection = m_context.endpoints[primary.slot]->acquireConnection(entry, request.deadline, trace);
    if (!connection)
        return tl::unexpected(withCause(connection.error()));
    const InFlightWriteGuard inFlight(m_context);
    const auto current = m_context.view.writablePrimary();
    if (!current || current->term != primary.term)
        return notRun(FailureCode::NotPrimary, "the primary changed while the request waited in the queue",
            Cause::PrimaryFailover);

    nlohmann::json params { { "term", primary.term }, { "kind", "write" }, { "statement", request.statement } };
    if (!request.idempotencyKey.empty())
        params["key"] = request.idempotencyKey;
    const auto sentAt = Clock::now();
    const auto reply = connection->lease.call("execute", params, request.deadline);
    trace.addWait(Cause::EndpointSlow, std::chrono::duration_cast<Milliseconds>(Clock::now() - sentAt));
    // Released before the confirmation, which needs no connection, because other requests wait for this one.
    connection->lease.release();
    connection->ticket.release();
    if (!reply)
        return tl::unexpected(withCause(reply.error()));

    const auto position = m_context.confirmChange(*reply, primary, sentAt, request.deadline, trace);
    if (!position)
        return tl::unexpected(position.error());
    auto advanced = session;
    advanced.advance(m_context.definition.name, *position);
    CallerAnswer answer;
    answer.requestId = request.requestId;
    answer.result = { { "rows", reply->value("rows", nlohmann::json::array()) } };
    answer.session = advanced.encode();
    answer.repeated = reply->value("repeated", false);
    return answer;
}

} // namespace kumquatbank
