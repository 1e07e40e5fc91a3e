#include "TransactionRunner.h"

#include "CommitRecord.h"

namespace kumquatbank {

namespace {

    constexpr std::string_view lostReason = "the connection to the endpoint was lost";
    constexpr std::string_view unpreparedReason = "the endpoint did not take over the state of the session; nothing is kept";
    constexpr std::string_view withdrawnReason = "the access of the client was withdrawn during the transaction";

} // namespace

TransactionState TransactionRunner::state() const
{
    if (!m_transaction)
        return TransactionState::None;
    return m_transaction->hasFailed ? TransactionState::Failed : TransactionState::Open;
}

void TransactionRunner::begin(const Route& route, std::string account, bool isReadOnly)
{
    m_transaction.emplace();
    m_transaction->route = route;
    m_transaction->grant = m_context.grant(route, std::move(account));
    m_transaction->isReadOnly = isReadOnly;
}

bool TransactionRunner::abort(std::string_view reason)
{
    if (!m_transaction || m_transaction->hasFailed)
        return false;
    m_transaction->lease.reset();
    m_transaction->hasFailed = true;
    m_transaction->abortReason = reason;
    return true;
}

bool TransactionRunner::abortIfWithdrawn()
{
    if (!m_transaction || m_transaction->hasFailed || m_context.mayContinue(m_transaction->grant))
        return false;
    m_context.metrics().accessRefused(AccessRefusal::Transaction);
    return abort(withdrawnReason);
}

StatementAnswer TransactionRunner::refuseAfterFailure()
{
    // The first statement after the proxy aborted a transaction reports the cause; later ones are client errors.
    const auto abortReason = std::exchange(m_transaction->abortReason, "");
    StatementAnswer answer;
    if (abortReason.empty())
        answer.setError(ErrorCode::Malformed, "the transaction has failed; end it with ROLLBACK");
    else
        answer.setError(ErrorCode::Aborted, abortReason);
    answer.account = m_transaction->grant.account;
    answer.state = state();
    return answer;
}

StatementAnswer TransactionRunner::rollBack()
{
    StatementAnswer answer;
    if (m_transaction) {
        answer.body = WireDialect::done();
        answer.account = m_transaction->grant.account;
    } else {
        answer.setError(ErrorCode::Malformed, "no transaction is open");
    }
    m_transaction.reset();
    return answer;
}

void TransactionRunner::fail(StatementAnswer& answer, std::string_view reason)
{
    m_transaction->lease.reset();
    m_transaction->hasFailed = true;
    // COMMIT was not sent, so the database rolls back the whole transaction.
    answer.setError(ErrorCode::Aborted, reason);
    answer.state = TransactionState::Failed;
}

void TransactionRunner::failInDoubt(StatementAnswer& answer)
{
    constexpr std::string_view reason = "the endpoint ended the transaction without being asked";
    fail(answer, reason);
    if (!m_transaction->hasWritten)
        return;
    m_transaction->isOutcomeUnknown = true;
    answer.setError(ErrorCode::InDoubt, reason);
}

BootTime TransactionRunner::deadline() const
{
    return m_context.deadline(m_transaction->route);
}

Task<AttemptResult> TransactionRunner::openOnEndpoint(const std::string& id, const Statement* first, std::set<std::string>& excluded, BootTime until, StatementAnswer& answer)
{
    const auto route = m_transaction->route;
    const bool onReplica = m_transaction->isReadOnly && route.policy != ReadPolicy::Primary;
    auto lease = co_await m_context.acquire(route, m_transaction->grant.account, onReplica ? Eligibility::Any : Eligibility::PrimaryOnly, excluded, until, answer);
    if (!lease)
        co_return AttemptResult::Done;
    // The access may have been withdrawn while the first statement was queued.
    if (!m_context.mayContinue(m_transaction->grant)) {
        m_context.metrics().accessRefused(AccessRefusal::Transaction);
        answer.setError(ErrorCode::Aborted, withdrawnReason);
        co_return AttemptResult::Done;
    }
    auto& endpoint = lease->endpoint();
    auto& service = lease->service();
    if (onReplica) {
        answer.floor = m_context.currentFloor(service, route);
        if (!answer.floor) {
            answer.setError(ErrorCode::Busy, "no recent log position of the primary is known", RetryPolicy::defaultRetryAfter);
            co_return AttemptResult::Retry;
        }
    }
    StatementExchange begun;
    begun.status = co_await replaySession(*lease, m_context.state(), id, until);
    if (begun.status == ExchangeStatus::Ok)
        begun = co_await beginTransaction(*lease, m_context.state(), id, first, onReplica, answer.floor, until);
    if (begun.status != ExchangeStatus::Ok) {
        const bool wasRefused = begun.status == ExchangeStatus::Refused;
        if (onReplica || !wasRefused)
            excluded.insert(lease->endpointId());
        answer.setError(ErrorCode::Busy, wasRefused ? unpreparedReason : lostReason, RetryPolicy::defaultRetryAfter);
        co_return AttemptResult::Retry;
    }
    if (begun.reply.isSuccess()) {
        if (!onReplica)
            service.recordPrimary(endpoint, begun.reply.position, begun.sentAt);
        m_transaction->lease = std::move(lease);
        co_return AttemptResult::Done;
    }
    if (begun.reply.code == ErrorCode::ReadOnly)
        service.recordNotPrimary(endpoint);
    else if (begun.reply.code == ErrorCode::Lagging)
        service.recordLagging(endpoint);
    if (onReplica)
        excluded.insert(lease->endpointId());
    answer.setError(ErrorCode::Busy, "the transaction could not be started on any endpoint", RetryPolicy::defaultRetryAfter);
    co_return AttemptResult::Retry;
}

Task<bool> TransactionRunner::pinConnection(const std::string& id, const Statement* first, BootTime until, StatementAnswer& answer)
{
    if (m_transaction->lease)
        co_return true;
    m_context.recordStatement(m_transaction->route.service);
    std::set<std::string> excluded;
    while (true) {
        ++answer.attempts;
        const auto attemptResult = co_await openOnEndpoint(id, first, excluded, until, answer);
        if (m_transaction->lease) {
            answer.code.reset();
            co_return true;
        }
        if (attemptResult == AttemptResult::Done || answer.attempts >= RetryPolicy::maxAttempts || BootClock::now() + RetryPolicy::minRemainingTime >= until)
            break;
        if (!m_context.takeRetry(m_transaction->route.service, answer))
            break;
        co_await sleepFor(m_context.io(), RetryPolicy::retryPause);
    }
    // No statement of the transaction has run.
    const auto service = m_context.registry().find(m_transaction->route.service);
    if (service && !m_transaction->isReadOnly)
        service->commits().recordRefused(BootClock::now(), false);
    m_transaction->hasFailed = true;
    answer.state = TransactionState::Failed;
    co_return false;
}

Task<StatementAnswer> TransactionRunner::run(const std::string& id, const Statement& statement)
{
    StatementAnswer answer;
    answer.account = m_transaction->grant.account;
    const auto writeFlag = m_context.writes(statement);
    if (!writeFlag) {
        answer.setError(ErrorCode::UnknownStatement, "no such prepared statement");
        answer.state = state();
        co_return answer;
    }
    const auto until = deadline();
    if (!co_await pinConnection(id, &statement, until, answer))
        co_return answer;
    auto& lease = *m_transaction->lease;
    answer.endpoint = lease.endpointId();
    const auto replayed = co_await replaySession(lease, m_context.state(), id, until);
    if (replayed != ExchangeStatus::Ok) {
        fail(answer, replayed == ExchangeStatus::Refused ? unpreparedReason : lostReason);
        co_return answer;
    }
    auto exchange = co_await exchangeStatement(lease, m_context.state(), id, statement, std::nullopt, false, until);
    // The session has prepared the statement, so that the client has no part in an unknown name.
    const bool isUnprepared = exchange.status == ExchangeStatus::Ok && exchange.reply.code == ErrorCode::UnknownStatement;
    if (exchange.status == ExchangeStatus::Refused || isUnprepared) {
        fail(answer, unpreparedReason);
        co_return answer;
    }
    if (exchange.status != ExchangeStatus::Ok) {
        fail(answer, "the endpoint did not answer");
        co_return answer;
    }
    m_transaction->hasWritten = m_transaction->hasWritten || *writeFlag;
    const auto code = exchange.reply.code;
    if (!code && exchange.reply.state != TransactionState::Open) {
        failInDoubt(answer);
        co_return answer;
    }
    answer.setFromReply(std::move(exchange.reply.body), code);
    if (code == ErrorCode::ReadOnly)
        lease.service().recordNotPrimary(lease.endpoint());
    if (exchange.reply.state != TransactionState::Open) {
        // The database has aborted the transaction or expects its rollback; in both cases none of its writes are kept.
        m_transaction->lease.reset();
        m_transaction->hasFailed = true;
    }
    answer.state = state();
    co_return answer;
}

Task<StatementAnswer> TransactionRunner::commit(const std::string& id, const Statement& statement)
{
    StatementAnswer answer;
    if (!m_transaction) {
        answer.setError(ErrorCode::Malformed, "no transaction is open");
        co_return answer;
    }
    answer.account = m_transaction->grant.account;
    const auto until = deadline();
    m_isCommittingWrites = false;
    bool isPinned = false;
    if (!m_transaction->hasFailed)
        isPinned = co_await pinConnection(id, nullptr, until, answer);
    if (!isPinned) {
        const auto abortReason = m_transaction->abortReason;
        const bool isOutcomeUnknown = m_transaction->isOutcomeUnknown;
        m_transaction.reset();
        answer.state = TransactionState::None;
        if (isOutcomeUnknown)
            answer.setError(ErrorCode::InDoubt, "the endpoint had ended the transaction without being asked");
        else if (!answer.code)
            answer.setError(ErrorCode::Aborted, abortReason.empty() ? "the transaction had already failed" : abortReason);
        co_return answer;
    }
    auto lease = std::move(*m_transaction->lease);
    const bool hasWritten = m_transaction->hasWritten;
    m_transaction.reset();
    m_isCommittingWrites = hasWritten;
    answer.endpoint = lease.endpointId();
    StatementExchange exchange;
    const auto replayed = co_await replaySession(lease, m_context.state(), id, until);
    // The connection is rolled back when it is returned.
    if (hasWritten && CommitRecord::refuses(lease.service(), ErrorCode::Aborted, answer)) {
        m_isCommittingWrites = false;
        co_return answer;
    }
    std::optional<CommitRecord> record;
    if (hasWritten)
        record.emplace(lease.service().shared_from_this());
    if (replayed == ExchangeStatus::Ok)
        exchange = co_await exchangeStatement(lease, m_context.state(), id, statement, std::nullopt, false, until);
    if (record)
        record->finish(exchange);
    if (exchange.status != ExchangeStatus::Ok) {
        if (exchange.wasSent() && hasWritten)
            answer.setError(exchange.status == ExchangeStatus::TimedOut ? ErrorCode::Timeout : ErrorCode::InDoubt, "COMMIT was sent and its answer was lost");
        else
            answer.setError(ErrorCode::Aborted, hasWritten ? "connection broke before COMMIT" : "connection broke; the transaction wrote nothing");
        co_return answer;
    }
    auto& service = lease.service();
    if (exchange.reply.isSuccess() && hasWritten) {
        service.recordPrimary(lease.endpoint(), exchange.reply.position, exchange.sentAt);
        m_context.recordCommit(exchange.reply.position);
    } else if (exchange.reply.code == ErrorCode::ReadOnly) {
        service.recordNotPrimary(lease.endpoint());
    }
    const auto code = exchange.reply.code;
    answer.setFromReply(std::move(exchange.reply.body), code);
    // The proxy sends COMMIT only in a transaction that the endpoint has reported as open.
    if (code == ErrorCode::Malformed)
        answer.setError(hasWritten ? ErrorCode::InDoubt : ErrorCode::Aborted, "the endpoint did not know of the transaction at COMMIT");
    co_return answer;
}

} // namespace kumquatbank
