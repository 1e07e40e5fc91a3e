#include "StatementRunner.h"

#include "CommitRecord.h"

namespace kumquatbank {

using std::chrono::milliseconds;

namespace {

    /// An attempt of a read may use the remaining time divided by this; the rest is left for another endpoint.
    constexpr int attemptTimeDivisor = 2;
    constexpr milliseconds minAttemptTimeout { 350 };
    constexpr std::string_view stoppingReason = "the host is stopping";
    /// Other hosts serve the request at once.
    constexpr milliseconds stoppingRetryAfter { 0 };

    AttemptResult refuseAttempt(const ConnectionLease& lease, std::set<std::string>& excluded, StatementAnswer& answer)
    {
        excluded.insert(lease.endpointId());
        answer.setError(ErrorCode::Busy, "the connection to the endpoint was lost", RetryPolicy::defaultRetryAfter);
        return AttemptResult::Retry;
    }

    /// Ends an attempt whose statement has not run because the endpoint does not hold the session's state. The client has no
    /// part in it. The connection is closed; a read that any endpoint may serve goes to another one.
    AttemptResult refuseUnprepared(ConnectionLease& lease, bool needsPrimary, std::set<std::string>& excluded, StatementAnswer& answer)
    {
        lease.connection().close();
        if (!needsPrimary)
            excluded.insert(lease.endpointId());
        answer.setError(ErrorCode::Busy, "the endpoint did not take over the state of the session; nothing has run", RetryPolicy::defaultRetryAfter);
        return AttemptResult::Retry;
    }

} // namespace

StatementRunner::StatementRunner(asio::io_context& io, ServiceRegistry& registry, PoolerMetrics& metrics, const SessionTracker& tracker)
    : m_registry(registry)
    , m_context(io, registry, metrics, tracker)
    , m_transaction(m_context)
{
}

std::optional<milliseconds> StatementRunner::idleLimit() const
{
    const auto config = m_registry.config();
    return config ? config->transactionIdle : std::nullopt;
}

Task<StatementAnswer> StatementRunner::run(const std::string& database, const std::string& id, const Statement& statement)
{
    const bool endsTransaction = statement.kind == StatementKind::Commit || statement.kind == StatementKind::Rollback;
    const bool begins = statement.kind == StatementKind::Begin || statement.kind == StatementKind::BeginReadOnly;
    m_transaction.abortIfWithdrawn();
    if (transactionState() == TransactionState::Failed && !endsTransaction)
        co_return m_transaction.refuseAfterFailure();
    StatementAnswer answer;
    if (!m_transaction.isOpen() && refuseIfWithdrawn(database, answer))
        co_return answer;
    switch (statement.kind) {
    case StatementKind::SetValue:
    case StatementKind::Prepare:
    case StatementKind::Deallocate:
        m_context.applyLocally(statement, answer);
        answer.state = transactionState();
        co_return answer;
    case StatementKind::Commit:
        abortIfStopping();
        co_return co_await m_transaction.commit(id, statement);
    case StatementKind::Rollback:
        co_return m_transaction.rollBack();
    default:
        break;
    }
    if (m_transaction.isOpen() && !begins) {
        if (abortIfStopping())
            co_return m_transaction.refuseAfterFailure();
        co_return co_await m_transaction.run(id, statement);
    }

    const auto config = m_registry.config();
    const auto* route = config ? config->findRoute(database) : nullptr;
    if (route != nullptr)
        answer.account = m_lastAccount = m_context.identify(*route).accountName();
    if (route == nullptr)
        answer.setError(ErrorCode::UnknownDatabase, "no route for this database");
    else if (begins && m_transaction.isOpen())
        answer.setError(ErrorCode::Malformed, "a transaction is already open");
    else if (!m_context.admits(begins ? RequestKind::Begin : RequestKind::Single, route->statementTimeout))
        co_return refuseAsStopping();
    else if (const bool isAdmitted = co_await m_context.admitOperation(answer.account, answer); !isAdmitted) {
        answer.state = transactionState();
        co_return answer;
    } else if (begins) {
        m_transaction.begin(*route, answer.account, statement.kind == StatementKind::BeginReadOnly);
        answer.body = WireDialect::done();
    } else {
        co_return co_await runSingle(*route, answer.account, id, statement);
    }
    answer.state = transactionState();
    co_return answer;
}

bool StatementRunner::refuseIfWithdrawn(const std::string& database, StatementAnswer& answer)
{
    const auto config = m_registry.config();
    const auto* route = config && config->hasAccounts ? config->findRoute(database) : nullptr;
    if (route == nullptr || m_context.identify(*route).isAllowed)
        return false;
    m_context.metrics().accessRefused(AccessRefusal::Session);
    answer.account = m_lastAccount;
    answer.setUnauthorized("the key of the client was withdrawn");
    return true;
}

bool StatementRunner::abortIfStopping()
{
    return !m_context.admits(RequestKind::InTransaction, m_transaction.statementTimeout()) && m_transaction.abort(stoppingReason);
}

StatementAnswer StatementRunner::describeUnfinished(const ClientMessage& message, std::string_view reason) const
{
    StatementAnswer answer;
    const bool isCommit = message.statement && message.statement->kind == StatementKind::Commit;
    const bool writes = message.statement && m_context.writes(*message.statement).value_or(false);
    if (isCommit && m_transaction.isCommittingWrites())
        answer.setError(ErrorCode::InDoubt, "the session ended before the answer to COMMIT");
    else if (isCommit || m_transaction.isOpen())
        answer.setError(ErrorCode::Aborted, reason); // The database rolls back with the end of the connection.
    else if (writes)
        answer.setError(ErrorCode::InDoubt, "the session ended before the answer to the write");
    else
        answer.setError(ErrorCode::Timeout, "the session ended before the answer");
    answer.state = m_transaction.isOpen() && !isCommit ? TransactionState::Failed : TransactionState::None;
    return answer;
}

StatementAnswer StatementRunner::refuseBehindUnfinished(const ClientMessage& message, TransactionState state, std::string_view reason)
{
    const auto kind = message.statement ? message.statement->kind : StatementKind::Read;
    const bool endsTransaction = kind == StatementKind::Commit || kind == StatementKind::Rollback;
    StatementAnswer answer;
    answer.state = endsTransaction ? TransactionState::None : state;
    if (state == TransactionState::None)
        answer.setError(ErrorCode::Busy, reason, stoppingRetryAfter);
    else if (kind == StatementKind::Rollback)
        answer.body = WireDialect::done();
    else
        answer.setError(ErrorCode::Aborted, reason);
    return answer;
}

StatementAnswer StatementRunner::refuseAsStopping()
{
    StatementAnswer answer;
    answer.setError(ErrorCode::Busy, stoppingReason, stoppingRetryAfter);
    return answer;
}

Task<StatementAnswer> StatementRunner::runSingle(const Route& route, const std::string& account, const std::string& id, const Statement& statement)
{
    StatementAnswer answer;
    answer.account = account;
    const auto writeFlag = m_context.writes(statement);
    if (!writeFlag) {
        answer.setError(ErrorCode::UnknownStatement, "no such prepared statement");
        co_return answer;
    }
    const auto until = m_context.deadline(route) - m_context.admissionWait();
    m_context.recordStatement(route.service);
    std::set<std::string> excluded;
    while (true) {
        ++answer.attempts;
        if (co_await attempt(route, account, id, statement, *writeFlag, excluded, until, answer) == AttemptResult::Done)
            co_return answer;
        if (answer.attempts >= RetryPolicy::maxAttempts || BootClock::now() + RetryPolicy::minRemainingTime >= until)
            co_return answer;
        if (!m_context.takeRetry(route.service, answer))
            co_return answer;
        m_context.metrics().statementRetried(answer.code ? errorCodeName(*answer.code) : "unknown");
        co_await sleepFor(m_context.io(), RetryPolicy::retryPause);
    }
}

Task<AttemptResult> StatementRunner::attempt(const Route& route, const std::string& account, const std::string& id, const Statement& statement, bool writes, std::set<std::string>& excluded, BootTime until, StatementAnswer& answer)
{
    const auto service = m_registry.find(route.service);
    if (writes && service && CommitRecord::refuses(*service, ErrorCode::Busy, answer))
        co_return AttemptResult::Done;
    const bool needsPrimary = writes || route.policy == ReadPolicy::Primary;
    const auto eligibility = needsPrimary ? Eligibility::PrimaryOnly : Eligibility::Any;
    // The time must suffice for this attempt and for one on another endpoint.
    const bool isRepeatable = !needsPrimary && answer.attempts == 1 && until - BootClock::now() >= 2 * minAttemptTimeout;
    auto lease = co_await m_context.acquire(route, account, eligibility, excluded, until, answer, isRepeatable);
    if (!lease) {
        if (writes && service)
            service->commits().recordRefused(BootClock::now(), false);
        co_return AttemptResult::Done;
    }
    // The configuration may have changed while the request was queued.
    const auto* current = m_registry.config()->findRoute(route.database);
    if (current == nullptr || current->service != route.service) {
        answer.setError(ErrorCode::Busy, "the route changed while the request was queued", milliseconds(0));
        co_return AttemptResult::Done;
    }
    const auto identity = m_context.identify(*current);
    if (!identity.isAllowed) {
        m_context.metrics().accessRefused(AccessRefusal::Queued);
        answer.setUnauthorized("the key of the client was withdrawn while the request was queued; nothing has run");
        co_return AttemptResult::Done;
    }
    if (identity.accountName() != account) {
        m_context.metrics().accessRefused(AccessRefusal::AccountChanged);
        answer.setError(ErrorCode::Busy, "the account of the client changed while the request was queued", milliseconds(0));
        co_return AttemptResult::Done;
    }
    co_return co_await attemptOn(*lease, route, id, statement, writes, excluded, until, answer);
}

Task<AttemptResult> StatementRunner::beginPrimaryRead(ConnectionLease& lease, const std::string& id, const Statement& statement, std::set<std::string>& excluded, BootTime until, StatementAnswer& answer)
{
    auto& service = lease.service();
    const auto begun = co_await beginTransaction(lease, m_context.state(), id, &statement, false, std::nullopt, until);
    if (begun.status == ExchangeStatus::Refused)
        co_return refuseUnprepared(lease, true, excluded, answer);
    if (begun.status != ExchangeStatus::Ok)
        co_return refuseAttempt(lease, excluded, answer);
    if (begun.reply.isSuccess()) {
        service.recordPrimary(lease.endpoint(), begun.reply.position, begun.sentAt);
        co_return AttemptResult::Done;
    }
    if (begun.reply.code == ErrorCode::ReadOnly)
        service.recordNotPrimary(lease.endpoint());
    answer.setError(ErrorCode::Busy, "the primary is changing", RetryPolicy::defaultRetryAfter);
    co_return AttemptResult::Retry;
}

Task<AttemptResult> StatementRunner::attemptOn(ConnectionLease& lease, const Route& route, const std::string& id, const Statement& statement, bool writes, std::set<std::string>& excluded, BootTime until, StatementAnswer& answer)
{
    auto& service = lease.service();
    const bool isPrimaryRead = !writes && route.policy == ReadPolicy::Primary;
    const auto attemptUntil = writes ? until : std::min(until, BootClock::now() + std::max<BootClock::duration>((until - BootClock::now()) / attemptTimeDivisor, minAttemptTimeout));
    const bool needsPrimary = writes || isPrimaryRead;
    const auto replayed = co_await replaySession(lease, m_context.state(), id, attemptUntil);
    if (replayed == ExchangeStatus::Refused)
        co_return refuseUnprepared(lease, needsPrimary, excluded, answer);
    if (replayed != ExchangeStatus::Ok)
        co_return refuseAttempt(lease, excluded, answer);
    if (isPrimaryRead) {
        // Only a primary accepts a transaction that may write, so this read cannot run on a replaced primary.
        if (co_await beginPrimaryRead(lease, id, statement, excluded, attemptUntil, answer) == AttemptResult::Retry)
            co_return AttemptResult::Retry;
    } else if (!writes) {
        answer.floor = m_context.currentFloor(service, route);
        if (!answer.floor) {
            answer.setError(ErrorCode::Busy, "no recent log position of the primary is known", RetryPolicy::defaultRetryAfter);
            co_return AttemptResult::Retry;
        }
    }
    // Commits may have stalled while the request was queued.
    if (writes && CommitRecord::refuses(service, ErrorCode::Busy, answer))
        co_return AttemptResult::Done;
    std::optional<CommitRecord> record;
    if (writes)
        record.emplace(service.shared_from_this());
    auto exchange = co_await exchangeStatement(lease, m_context.state(), id, statement, answer.floor, isPrimaryRead, attemptUntil);
    if (record)
        record->finish(exchange);
    if (exchange.status == ExchangeStatus::Refused)
        co_return refuseUnprepared(lease, needsPrimary, excluded, answer);
    if (!exchange.wasSent())
        co_return refuseAttempt(lease, excluded, answer);
    if (exchange.status != ExchangeStatus::Ok) {
        if (writes) {
            answer.setError(exchange.status == ExchangeStatus::TimedOut ? ErrorCode::Timeout : ErrorCode::InDoubt, "the write was sent and its answer was lost");
            co_return AttemptResult::Done;
        }
        excluded.insert(lease.endpointId());
        answer.setError(ErrorCode::Timeout, "the endpoint did not answer");
        co_return AttemptResult::Retry;
    }
    const auto code = exchange.reply.code;
    if (code == ErrorCode::Malformed && lease.connection().state().isInDoubt()) {
        // The database was in another transaction state than its answers said, and refused a legal statement for that.
        if (!writes)
            co_return refuseUnprepared(lease, needsPrimary, excluded, answer);
        answer.setError(ErrorCode::InDoubt, "the connection was in an unexpected transaction state");
        co_return AttemptResult::Done;
    }
    answer.setFromReply(std::move(exchange.reply.body), code);
    if (code == ErrorCode::UnknownStatement)
        co_return refuseUnprepared(lease, needsPrimary, excluded, answer);
    if (code)
        co_return handleFailure(lease, writes, excluded, answer);
    service.recordCaughtUp(lease.endpoint());
    if (writes) {
        service.recordPrimary(lease.endpoint(), exchange.reply.position, exchange.sentAt);
        m_context.recordCommit(exchange.reply.position);
    }
    co_return AttemptResult::Done;
}

AttemptResult StatementRunner::handleFailure(ConnectionLease& lease, bool writes, std::set<std::string>& excluded, StatementAnswer& answer)
{
    switch (*answer.code) {
    case ErrorCode::Lagging:
        lease.service().recordLagging(lease.endpoint());
        excluded.insert(lease.endpointId());
        return AttemptResult::Retry;
    case ErrorCode::ReadOnly:
        lease.service().recordNotPrimary(lease.endpoint());
        return AttemptResult::Retry;
    case ErrorCode::Busy:
        if (!writes)
            excluded.insert(lease.endpointId());
        return AttemptResult::Retry;
    case ErrorCode::Failed:
        return !writes && excluded.insert(lease.endpointId()).second && answer.attempts == 1 ? AttemptResult::Retry : AttemptResult::Done;
    default:
        return AttemptResult::Done;
    }
}

} // namespace kumquatbank
