#include "WriteService.h"

namespace kumquatbank {

namespace {

    // Pause before the same primary is tried again; its role or its claim is changing.
    constexpr Milliseconds retryPause { 20 };

} // namespace

WriteService::WriteService(GroupParts& parts)
    : m_parts(parts)
{
}

Result<CallerAnswer> WriteService::run(const CallerRequest& request, const CatalogueEntry& entry,
    const SessionToken& session, RequestTrace& trace)
{
    std::optional<Failure> unknown; // An earlier attempt may have run; set only with an idempotency key.
    std::optional<PrimaryView> tried;
    Term leastTerm = 0;
    bool wasSent = false; ///< The last attempt reached the endpoint.
    for (;;) {
        const auto primary = m_parts.waitForPrimary(leastTerm, request.deadline, trace);
        if (!primary)
            return tl::unexpected(unknown.value_or(primary.error()));
        auto& endpoint = *m_parts.endpoints[primary->slot];
        const bool isSame = tried && tried->slot == primary->slot && tried->term == primary->term;
        if (!isSame)
            endpoint.retries().recordFirstTry();
        if (isSame) {
            const RequestTrace::Span span(trace, Cause::PrimaryFailover);
            m_parts.view.waitUntil(request.deadline.cappedTo(retryPause), [] { return false; });
            if (request.deadline.hasPassed())
                return tl::unexpected(unknown.value_or(
                    notRun(FailureCode::Unavailable, "no primary took over before the deadline",
                        Cause::PrimaryFailover)
                        .value()));
            // An attempt that found no connection has sent nothing and is no load for the endpoint.
            if (wasSent && !endpoint.retries().tryRetry())
                continue;
        }
        tried = *primary;

        auto answer = attempt(request, entry, session, *primary, trace);
        if (answer)
            return answer;
        const auto& failure = answer.error();
        if (failure.verdict == Verdict::MayHaveRun) {
            const bool isRepeated = !request.idempotencyKey.empty()
                && isReplacementComing(*primary, Clock::now(), request.deadline);
            if (!isRepeated)
                return answer;
            unknown = failure;
            leastTerm = primary->term + 1;
            continue;
        }
        if (failure.code == FailureCode::StatementError)
            return answer; // A greater term's primary does not know the key, so no attempt has run.
        if (!isRetryable(failure))
            return tl::unexpected(unknown.value_or(failure));
        wasSent = failure.code != FailureCode::Unreachable && failure.code != FailureCode::ConnectionLost;
        endpoint.prober().probeSoon();
    }
}

bool WriteService::isReplacementComing(
    const PrimaryView& primary, TimePoint failedAt, const Deadline& deadline) const
{
    m_parts.endpoints[primary.slot]->prober().probeSoon();
    bool isReplaced = false;
    m_parts.view.waitUntil(deadline, [&] {
        const auto current = m_parts.view.primary();
        isReplaced = current && current->term > primary.term;
        const auto slot = m_parts.view.slot(primary.slot);
        const bool isHealthy = slot.statusAt > failedAt && slot.isPrimary && !slot.isLeaving
            && m_parts.view.greatestTerm() == primary.term;
        return isReplaced || isHealthy || m_parts.claim.isSuperseded();
    });
    return isReplaced;
}

Result<CallerAnswer> WriteService::attempt(const CallerRequest& request, const CatalogueEntry& entry,
    const SessionToken& session, const PrimaryView& primary, RequestTrace& trace)
{
    auto work = m_parts.endpoints[primary.slot]->occupy(entry, request.deadline, trace);
    if (!work)
        return tl::unexpected(withCause(work.error()));
    const WriteInFlight inFlight(m_parts);
    const auto current = m_parts.view.writablePrimary();
    if (!current || current->term != primary.term)
        return notRun(FailureCode::NotPrimary, "the primary changed while the request was queued",
            Cause::PrimaryFailover);

    nlohmann::json params { { "term", primary.term }, { "kind", "write" }, { "statement", request.statement } };
    if (!request.idempotencyKey.empty())
        params["key"] = request.idempotencyKey;
    const auto sentAt = Clock::now();
    const auto reply = work->lease.call("execute", params, request.deadline);
    trace.addWait(Cause::EndpointSlow, std::chrono::duration_cast<Milliseconds>(Clock::now() - sentAt));
    // Confirmation needs no connection, and others wait for this one.
    work->lease.release();
    work->ticket.release();
    if (!reply)
        return tl::unexpected(withCause(reply.error()));

    const auto position = m_parts.confirmChange(*reply, primary, sentAt, request.deadline, trace);
    if (!position)
        return tl::unexpected(position.error());
    auto advanced = session;
    advanced.advance(m_parts.definition.name, *position);
    CallerAnswer answer;
    answer.requestId = request.requestId;
    answer.result = { { "rows", reply->value("rows", nlohmann::json::array()) } };
    answer.session = advanced.encode();
    answer.repeated = reply->value("repeated", false);
    return answer;
}

} // namespace kumquatbank
