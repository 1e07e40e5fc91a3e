#include "TransactionService.h"

namespace kumquatbank {

namespace {

    // Pause before the same primary is tried again, while its role or its claim is changing.
    constexpr Milliseconds retryPause { 20 };

    CallerAnswer makeAnswer(const CallerRequest& request, const SessionToken& session, nlohmann::json result)
    {
        CallerAnswer answer;
        answer.requestId = request.requestId;
        answer.result = std::move(result);
        answer.session = session.encode();
        return answer;
    }

} // namespace

TransactionService::TransactionService(GroupContext& parts)
    : m_context(parts)
{
}

Result<CallerAnswer> TransactionService::begin(const CallerRequest& request, const CatalogueEntry& entry,
    const SessionToken& session, EntryLimiter::Permit permit, RequestTrace& trace)
{
    for (;;) {
        const auto primary = m_context.waitForPrimary(0, request.deadline, trace);
        if (!primary)
            return tl::unexpected(primary.error());
        auto id = open(request, entry, *primary, permit, trace);
        if (id) {
            auto answer = makeAnswer(request, session, nlohmann::json::object());
            answer.transaction = *id;
            return answer;
        }
        auto& endpoint = *m_context.endpoints[primary->slot];
        if (!isRetryable(id.error()) || request.deadline.hasPassed() || !endpoint.retries().tryRetry())
            return tl::unexpected(id.error());
        endpoint.prober().requestProbe();
        m_context.view.waitUntil(request.deadline.cappedTo(retryPause), [] { return false; });
    }
}

Result<std::string> TransactionService::open(const CallerRequest& request, const CatalogueEntry& entry,
    const PrimaryView& primary, EntryLimiter::Permit& permit, RequestTrace& trace)
{
    auto& endpoint = *m_context.endpoints[primary.slot];
    auto connection = endpoint.acquireConnection(entry, request.deadline, trace);
    if (!connection)
        return tl::unexpected(withCause(connection.error()));
    endpoint.retries().recordFirstTry();
    connection->lease.setInTransaction(true);
    const auto claim = m_context.claimNumber.load();
    const auto reply = connection->lease.call("begin", { { "term", primary.term } }, request.deadline);
    if (!reply) {
        // A transaction without a commit has no effect, and closing its connection rolls it back.
        auto failure = withCause(reply.error());
        failure.verdict = Verdict::NotRun;
        return tl::unexpected(failure);
    }
    auto transaction = std::make_unique<OpenTransaction>(OpenTransaction {
        std::move(permit), std::move(connection->ticket), std::move(connection->lease), primary, Clock::now() });
    return m_context.transactions.add(std::move(transaction), claim);
}

Result<CallerAnswer> TransactionService::run(
    const CallerRequest& request, const SessionToken& session, RequestTrace& trace)
{
    auto transaction = m_context.transactions.checkOut(request.transaction);
    if (!transaction)
        return tl::unexpected(withCause(transaction.error()));
    switch (request.kind) {
    case RequestKind::Commit:
        return finish("commit", request, request.transaction, session, std::move(*transaction), trace);
    case RequestKind::Rollback:
        return rollback(request, session, std::move(*transaction));
    default:
        return execute(request, session, std::move(*transaction), trace);
    }
}

Result<CallerAnswer> TransactionService::resolveCommit(const CallerRequest& request, const CatalogueEntry& entry,
    const SessionToken& session, EntryLimiter::Permit permit, RequestTrace& trace)
{
    // A rollback with the key either finds the earlier commit or prevents it from running later. An empty commit would
    // also do so, but the next repetition could not distinguish its record from the record of the earlier commit.
    auto begunTransaction = begin(request, entry, session, std::move(permit), trace);
    if (!begunTransaction)
        return begunTransaction;
    auto transaction = m_context.transactions.checkOut(begunTransaction->transaction);
    if (!transaction)
        return tl::unexpected(withCause(transaction.error()));
    auto resolution
        = finish("rollback", request, begunTransaction->transaction, session, std::move(*transaction), trace);
    if (!resolution || resolution->repeated)
        return resolution;
    return notRun(FailureCode::UnknownTransaction, "the transaction was rolled back and its commit cannot run later",
        Cause::HolderChange);
}

Result<CallerAnswer> TransactionService::execute(const CallerRequest& request, const SessionToken& session,
    std::unique_ptr<OpenTransaction> transaction, RequestTrace& trace)
{
    const auto sentAt = Clock::now();
    const auto reply = transaction->lease.call("execute",
        { { "term", transaction->primary.term }, { "kind", requestKindName(request.kind) },
            { "statement", request.statement } },
        request.deadline);
    trace.addWait(Cause::EndpointSlow, std::chrono::duration_cast<Milliseconds>(Clock::now() - sentAt));
    if (reply) {
        m_context.transactions.checkIn(request.transaction, std::move(transaction));
        return makeAnswer(request, session, { { "rows", reply->value("rows", nlohmann::json::array()) } });
    }
    auto failure = withCause(reply.error());
    if (failure.code == FailureCode::StatementError && failure.verdict == Verdict::NotRun) {
        m_context.transactions.checkIn(request.transaction, std::move(transaction));
        return tl::unexpected(failure);
    }
    // Closing the connection makes the endpoint roll back. No commit was sent, so nothing has run.
    m_context.transactions.erase(request.transaction);
    failure.verdict = Verdict::NotRun;
    failure.message = "the transaction was rolled back: " + failure.message;
    return tl::unexpected(failure);
}

Result<CallerAnswer> TransactionService::finish(const std::string& method, const CallerRequest& request,
    const std::string& id, const SessionToken& session, std::unique_ptr<OpenTransaction> transaction,
    RequestTrace& trace)
{
    const InFlightWriteGuard inFlight(m_context);
    nlohmann::json params { { "term", transaction->primary.term } };
    if (!request.idempotencyKey.empty())
        params["key"] = request.idempotencyKey;
    const auto sentAt = Clock::now();
    const auto reply = transaction->lease.call(method, params, request.deadline);
    trace.addWait(Cause::EndpointSlow, std::chrono::duration_cast<Milliseconds>(Clock::now() - sentAt));
    m_context.transactions.erase(id);
    const auto primary = transaction->primary;
    if (reply)
        transaction->lease.setInTransaction(false);
    transaction.reset();
    if (!reply)
        return tl::unexpected(withCause(reply.error()));

    const auto position = m_context.confirmChange(*reply, primary, sentAt, request.deadline, trace);
    if (!position)
        return tl::unexpected(position.error());
    auto advanced = session;
    advanced.advance(m_context.definition.name, *position);
    auto answer = makeAnswer(request, advanced, nlohmann::json::object());
    answer.repeated = reply->value("repeated", false);
    return answer;
}

Result<CallerAnswer> TransactionService::rollback(const CallerRequest& request, const SessionToken& session,
    std::unique_ptr<OpenTransaction> transaction)
{
    const auto reply = transaction->lease.call(
        "rollback", { { "term", transaction->primary.term } }, request.deadline);
    m_context.transactions.erase(request.transaction);
    // Without an answer the connection is closed, which also makes the endpoint roll back.
    transaction->lease.setInTransaction(!reply.has_value());
    transaction.reset();
    return makeAnswer(request, session, nlohmann::json::object());
}

} // namespace kumquatbank
