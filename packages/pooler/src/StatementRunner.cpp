#include "StatementRunner.h"

#include <fmt/format.h>

namespace kumquatbank {

using std::chrono::milliseconds;

namespace {

    /// Kept back from a statement's timeout so that its final answer reaches the client in time.
    constexpr milliseconds answerMargin { 40 };
    /// A read is sent again only with at least this much time left.
    constexpr milliseconds minAttemptTime { 60 };
    /// Part of the remaining time that one attempt of a read gets; the rest is for another endpoint.
    constexpr int attemptShare = 2;
    constexpr milliseconds minAttemptTimeout { 350 };
    constexpr int maxAttempts = 5;
    /// Pause before a statement is sent again to a service whose endpoints all refused it.
    constexpr milliseconds retryPause { 25 };
    /// Part of the target latency that a request may wait for a connection, in percent.
    constexpr int queueSharePercent = 60;
    /// Suggested pause where nothing better is known.
    constexpr milliseconds defaultRetryAfter { 200 };

} // namespace

StatementRunner::StatementRunner(asio::io_context& io, ServiceRegistry& registry, PoolerMetrics& metrics)
    : m_io(io)
    , m_registry(registry)
    , m_metrics(metrics)
{
}

TransactionState StatementRunner::transactionState() const
{
    if (!m_transaction)
        return TransactionState::None;
    return m_transaction->failed ? TransactionState::Failed : TransactionState::Open;
}

std::optional<milliseconds> StatementRunner::idleLimit() const
{
    const auto config = m_registry.config();
    return config ? config->transactionIdle : std::nullopt;
}

void StatementRunner::abortIdleTransaction()
{
    if (!m_transaction || m_transaction->failed)
        return;
    m_transaction->lease.reset();
    m_transaction->failed = true;
    m_transaction->failure = "transaction was idle for too long";
}

void StatementRunner::refuse(StatementAnswer& answer, ErrorCode code, std::string_view reason, std::optional<milliseconds> retryAfter) const
{
    answer.code = code;
    answer.reason = reason;
    answer.body = WireDialect::error(code, retryAfter ? fmt::format("{}; retry after {} ms", reason, retryAfter->count()) : std::string(reason));
    answer.state = transactionState();
}

void StatementRunner::failTransaction(StatementAnswer& answer, std::string_view reason)
{
    m_transaction->lease.reset();
    m_transaction->failed = true;
    // The transaction's COMMIT was never sent, so the database rolls all of it back.
    refuse(answer, ErrorCode::Aborted, reason);
}

std::optional<bool> StatementRunner::writes(const Statement& statement) const
{
    if (statement.kind != StatementKind::Execute)
        return statement.kind == StatementKind::Write;
    const auto it = m_session.prepared.find(statement.name);
    return it == m_session.prepared.end() ? std::nullopt : std::optional(it->second.writes);
}

Task<StatementAnswer> StatementRunner::run(const std::string& database, const std::string& id, const Statement& statement)
{
    const bool endsTransaction = statement.kind == StatementKind::Commit || statement.kind == StatementKind::Rollback;
    StatementAnswer answer;
    if (m_transaction && m_transaction->failed && !endsTransaction) {
        // The first statement after the proxy ended a transaction learns why; later ones are mistakes.
        const auto failure = std::exchange(m_transaction->failure, "");
        const bool isNews = !failure.empty();
        refuse(answer, isNews ? ErrorCode::Aborted : ErrorCode::Malformed, isNews ? failure : "the transaction failed; end it first");
        co_return answer;
    }
    switch (statement.kind) {
    case StatementKind::SetValue:
    case StatementKind::Prepare:
    case StatementKind::Deallocate:
        co_return local(statement);
    case StatementKind::Commit:
        co_return co_await commit(id, statement);
    case StatementKind::Rollback:
        if (!m_transaction) {
            refuse(answer, ErrorCode::Malformed, "no transaction is open");
            co_return answer;
        }
        m_transaction.reset();
        answer.body = WireDialect::done();
        co_return answer;
    default:
        break;
    }
    if (m_transaction && statement.kind != StatementKind::Begin && statement.kind != StatementKind::BeginReadOnly)
        co_return co_await runInTransaction(id, statement);

    const auto config = m_registry.config();
    const auto* route = config ? config->findRoute(database) : nullptr;
    if (route == nullptr) {
        refuse(answer, ErrorCode::UnknownDatabase, "no route for this database");
        co_return answer;
    }
    if (statement.kind == StatementKind::Begin || statement.kind == StatementKind::BeginReadOnly) {
        if (m_transaction) {
            refuse(answer, ErrorCode::Malformed, "a transaction is open already");
            co_return answer;
        }
        m_transaction.emplace();
        m_transaction->route = *route;
        m_transaction->readOnly = statement.kind == StatementKind::BeginReadOnly;
        answer.body = WireDialect::done();
        answer.state = TransactionState::Open;
        co_return answer;
    }
    co_return co_await runSingle(*route, id, statement);
}

StatementAnswer StatementRunner::local(const Statement& statement)
{
    if (statement.kind == StatementKind::SetValue)
        m_session.values[statement.name] = statement.argument;
    else if (statement.kind == StatementKind::Prepare)
        m_session.prepared[statement.name] = { preparedConnectionName(statement.preparesWrite, statement.argument), statement.argument, statement.preparesWrite };
    else
        m_session.prepared.erase(statement.name);
    StatementAnswer answer;
    answer.body = WireDialect::done();
    answer.state = transactionState();
    return answer;
}

Task<std::optional<ConnectionLease>> StatementRunner::acquire(const Route& route, Eligibility eligibility, const std::set<std::string>& excluded, BootTime until, StatementAnswer& answer)
{
    const auto service = m_registry.find(route.service);
    if (!service) {
        refuse(answer, ErrorCode::Busy, "no endpoint of the service is known", defaultRetryAfter);
        co_return std::nullopt;
    }
    const auto askedAt = BootClock::now();
    PermitRequest request;
    request.eligibility = eligibility;
    request.priority = route.priority;
    request.giveUpAt = std::min<BootTime>(until - minAttemptTime, askedAt + route.targetLatency * queueSharePercent / 100);
    request.excluded = excluded;
    auto lease = co_await service->acquire(std::move(request), m_session, until);
    answer.queued += BootClock::now() - askedAt;
    if (lease) {
        answer.endpoint = lease->endpointId();
        co_return std::move(*lease);
    }
    refuse(answer, lease.error().code, lease.error().reason, lease.error().retryAfter);
    co_return std::nullopt;
}

Task<ExchangeStatus> StatementRunner::replaySession(ConnectionLease& lease, BootTime until)
{
    auto& connection = lease.connection();
    auto& state = connection.state();
    if (state.hasValuesOf(m_session))
        co_return ExchangeStatus::Ok;
    const bool needsReset = state.needsReset(m_session);
    const auto values = state.missingValues(m_session);
    std::string commands = needsReset ? WireDialect::reset() : "";
    for (const auto& [name, value] : values)
        commands += WireDialect::setValue(name, value);
    std::vector<DatabaseReply> replies;
    const auto status = co_await connection.exchange(std::move(commands), replies, values.size() + (needsReset ? 1 : 0), until);
    const bool isDone = status == ExchangeStatus::Ok && std::ranges::all_of(replies, &DatabaseReply::isSuccess);
    if (!isDone) {
        connection.close();
        co_return status == ExchangeStatus::Ok ? ExchangeStatus::Broken : status;
    }
    if (needsReset)
        state.noteReset();
    for (const auto& [name, value] : values)
        state.noteValue(name, value);
    co_return ExchangeStatus::Ok;
}

StatementRunner::Prepared StatementRunner::prepare(ConnectionLease& lease, const Statement& statement) const
{
    Prepared prepared;
    prepared.text = statement.text;
    if (statement.kind != StatementKind::Execute)
        return prepared;
    const auto& known = m_session.prepared.at(statement.name);
    prepared.text = WireDialect::executeText(known.connectionName, statement.argument);
    if (!lease.connection().state().hasPrepared(known.connectionName)) {
        prepared.preamble = WireDialect::prepare(known.connectionName, known.writes, known.shape);
        prepared.preambleReplies = 1;
        prepared.connectionName = known.connectionName;
    }
    return prepared;
}

void StatementRunner::noteCommit(const DatabaseReply& reply)
{
    if (!reply.position)
        return;
    m_session.lastCommit = std::max(m_session.lastCommit, *reply.position);
    m_lastCommitAt = BootClock::now();
}

std::optional<LogPosition> StatementRunner::currentFloor(DatabaseService& service, const Route& route) const
{
    const DatabaseService::Floor::OwnCommit own { m_session.lastCommit, m_lastCommitAt };
    return service.currentFloor(route.maxStaleness, route.policy == ReadPolicy::ReadYourWrites ? own : DatabaseService::Floor::OwnCommit {});
}

Task<std::optional<LogPosition>> StatementRunner::readFloor(DatabaseService& service, const Route& route, BootTime until)
{
    const DatabaseService::Floor::OwnCommit own { m_session.lastCommit, m_lastCommitAt };
    co_return co_await service.floor(route.maxStaleness, route.policy == ReadPolicy::ReadYourWrites ? own : DatabaseService::Floor::OwnCommit {}, until);
}

Task<StatementAnswer> StatementRunner::runSingle(const Route& route, const std::string& id, const Statement& statement)
{
    StatementAnswer answer;
    const auto writing = writes(statement);
    if (!writing) {
        refuse(answer, ErrorCode::UnknownStatement, "no such prepared statement");
        co_return answer;
    }
    const auto until = BootClock::now() + route.statementTimeout - answerMargin;
    std::set<std::string> excluded;
    while (true) {
        ++answer.attempts;
        if (co_await attempt(route, id, statement, *writing, excluded, until, answer) == Phase::Done)
            co_return answer;
        if (answer.attempts >= maxAttempts || BootClock::now() + minAttemptTime >= until)
            co_return answer;
        m_metrics.retried(answer.code ? errorCodeName(*answer.code) : "unknown");
        co_await sleepFor(m_io, retryPause);
    }
}

Task<StatementRunner::Phase> StatementRunner::attempt(const Route& route, const std::string& id, const Statement& statement, bool writes, std::set<std::string>& excluded, BootTime until, StatementAnswer& answer)
{
    const auto service = m_registry.find(route.service);
    const bool needsPrimary = writes || route.policy == ReadPolicy::Primary;
    if (!needsPrimary && service) {
        const auto floor = co_await readFloor(*service, route, until - minAttemptTime);
        if (!floor) {
            refuse(answer, ErrorCode::Busy, "the primary's position is not known", defaultRetryAfter);
            co_return Phase::Done;
        }
    }
    auto avoided = excluded;
    if (!needsPrimary && service)
        avoided.merge(service->laggingEndpoints());
    auto lease = co_await acquire(route, needsPrimary ? Eligibility::PrimaryOnly : Eligibility::Any, avoided, until, answer);
    if (!lease)
        co_return Phase::Done;
    // The configuration may have changed while the request waited.
    const auto* current = m_registry.config()->findRoute(route.database);
    if (current == nullptr || current->service != route.service) {
        refuse(answer, ErrorCode::Busy, "the route has changed", milliseconds(0));
        co_return Phase::Done;
    }
    co_return co_await attemptOn(*lease, route, id, statement, writes, excluded, until, answer);
}

Task<StatementRunner::Phase> StatementRunner::attemptOn(ConnectionLease& lease, const Route& route, const std::string& id, const Statement& statement, bool writes, std::set<std::string>& excluded, BootTime until, StatementAnswer& answer)
{
    auto& connection = lease.connection();
    auto& service = lease.service();
    auto& endpoint = lease.endpoint();
    const bool isPrimaryRead = !writes && route.policy == ReadPolicy::Primary;
    const auto attemptUntil = writes ? until : std::min(until, BootClock::now() + std::max<BootClock::duration>((until - BootClock::now()) / attemptShare, minAttemptTimeout));

    const auto refuseAttempt = [&](std::string_view reason) {
        excluded.insert(lease.endpointId());
        refuse(answer, ErrorCode::Busy, reason, defaultRetryAfter);
        return Phase::Retry;
    };
    if (co_await replaySession(lease, attemptUntil) != ExchangeStatus::Ok) {
        service.noteFailure(endpoint, "session replay");
        co_return refuseAttempt("connection to the endpoint broke");
    }
    if (isPrimaryRead) {
        // Only a primary accepts a transaction that may write, so this read cannot meet a replaced primary.
        const auto sentAt = BootClock::now();
        std::vector<DatabaseReply> replies;
        if (co_await connection.exchange(WireDialect::begin(false, std::nullopt), replies, 1, attemptUntil) != ExchangeStatus::Ok) {
            service.noteFailure(endpoint, "begin");
            co_return refuseAttempt("connection to the endpoint broke");
        }
        service.noteAnswer(endpoint, sentAt);
        if (!replies[0].isSuccess()) {
            if (replies[0].code == ErrorCode::ReadOnly)
                service.noteNotPrimary(endpoint);
            refuse(answer, ErrorCode::Busy, "the primary is changing", defaultRetryAfter);
            co_return Phase::Retry;
        }
        service.notePrimary(endpoint, replies[0].position, sentAt);
    }
    std::optional<LogPosition> floor;
    if (!writes && !isPrimaryRead) {
        floor = currentFloor(service, route);
        if (!floor) {
            refuse(answer, ErrorCode::Busy, "the primary's position is not known", defaultRetryAfter);
            co_return Phase::Retry;
        }
        answer.floor = floor;
    }
    const auto prepared = prepare(lease, statement);
    const auto sentAt = BootClock::now();
    const auto commands = prepared.preamble + WireDialect::query(id, prepared.text, floor) + (isPrimaryRead ? WireDialect::rollback() : "");
    auto status = co_await connection.send(commands, prepared.preambleReplies + (isPrimaryRead ? 2 : 1), attemptUntil);
    if (status == ExchangeStatus::NotSent)
        co_return refuseAttempt("connection to the endpoint broke");
    DatabaseReply reply;
    for (int n = 0; n <= prepared.preambleReplies && status == ExchangeStatus::Ok; ++n)
        status = co_await connection.receive(reply, attemptUntil);
    if (status != ExchangeStatus::Ok) {
        service.noteFailure(endpoint, status == ExchangeStatus::TimedOut ? "no answer" : "connection broke");
        if (!writes) {
            excluded.insert(lease.endpointId());
            refuse(answer, ErrorCode::Timeout, "the endpoint did not answer");
            co_return Phase::Retry;
        }
        refuse(answer, status == ExchangeStatus::TimedOut ? ErrorCode::Timeout : ErrorCode::InDoubt, "the write was sent and its answer was lost");
        co_return Phase::Done;
    }
    if (isPrimaryRead) {
        // The rollback's reply is of no interest to the client; the lease waits for it.
        DatabaseReply ignored;
        if (co_await connection.receive(ignored, attemptUntil) != ExchangeStatus::Ok)
            connection.close();
    }
    service.noteAnswer(endpoint, sentAt);
    if (!prepared.connectionName.empty() && reply.code != ErrorCode::UnknownStatement)
        connection.state().notePrepared(prepared.connectionName);
    if (reply.position)
        endpoint.position = std::max(endpoint.position, *reply.position);

    if (reply.isSuccess()) {
        service.noteNotLagging(endpoint);
        if (writes) {
            service.notePrimary(endpoint, reply.position, sentAt);
            noteCommit(reply);
        }
        answer.body = std::move(reply.body);
        answer.code.reset();
        answer.reason = "answered";
        answer.state = TransactionState::None;
        co_return Phase::Done;
    }
    answer.code = reply.code;
    answer.body = std::move(reply.body);
    answer.reason = "endpoint refused";
    answer.state = TransactionState::None;
    switch (*reply.code) {
    case ErrorCode::Lagging:
        service.noteLagging(endpoint);
        excluded.insert(lease.endpointId());
        co_return Phase::Retry;
    case ErrorCode::ReadOnly:
        service.noteNotPrimary(endpoint);
        co_return Phase::Retry;
    case ErrorCode::Busy:
        if (!writes)
            excluded.insert(lease.endpointId());
        co_return Phase::Retry;
    case ErrorCode::UnknownStatement:
        connection.close();
        co_return Phase::Retry;
    case ErrorCode::Failed:
        if (!writes && excluded.insert(lease.endpointId()).second && answer.attempts == 1)
            co_return Phase::Retry;
        co_return Phase::Done;
    default:
        co_return Phase::Done;
    }
}

Task<StatementRunner::Phase> StatementRunner::openTransaction(std::set<std::string>& excluded, BootTime until, StatementAnswer& answer)
{
    auto& transaction = *m_transaction;
    const auto route = transaction.route;
    const bool onReplica = transaction.readOnly && route.policy != ReadPolicy::Primary;
    const auto service = m_registry.find(route.service);
    if (onReplica && service) {
        const auto floor = co_await readFloor(*service, route, until - minAttemptTime);
        if (!floor) {
            refuse(answer, ErrorCode::Busy, "the primary's position is not known", defaultRetryAfter);
            co_return Phase::Done;
        }
    }
    auto avoided = excluded;
    if (onReplica && service)
        avoided.merge(service->laggingEndpoints());
    auto lease = co_await acquire(route, onReplica ? Eligibility::Any : Eligibility::PrimaryOnly, avoided, until, answer);
    if (!lease)
        co_return Phase::Done;
    auto& endpoint = lease->endpoint();
    std::optional<LogPosition> floor;
    if (onReplica) {
        floor = currentFloor(*service, route);
        if (!floor) {
            refuse(answer, ErrorCode::Busy, "the primary's position is not known", defaultRetryAfter);
            co_return Phase::Retry;
        }
        answer.floor = floor;
    }
    auto status = co_await replaySession(*lease, until);
    const auto sentAt = BootClock::now();
    std::vector<DatabaseReply> replies;
    if (status == ExchangeStatus::Ok)
        status = co_await lease->connection().exchange(WireDialect::begin(onReplica, floor), replies, 1, until);
    if (status != ExchangeStatus::Ok) {
        service->noteFailure(endpoint, "begin");
        excluded.insert(lease->endpointId());
        refuse(answer, ErrorCode::Busy, "connection to the endpoint broke", defaultRetryAfter);
        co_return Phase::Retry;
    }
    service->noteAnswer(endpoint, sentAt);
    if (replies[0].isSuccess()) {
        if (!onReplica)
            service->notePrimary(endpoint, replies[0].position, sentAt);
        transaction.lease = std::move(lease);
        co_return Phase::Done;
    }
    if (replies[0].code == ErrorCode::ReadOnly)
        service->noteNotPrimary(endpoint);
    else if (replies[0].code == ErrorCode::Lagging)
        service->noteLagging(endpoint);
    if (onReplica)
        excluded.insert(lease->endpointId());
    refuse(answer, ErrorCode::Busy, "no endpoint could begin the transaction", defaultRetryAfter);
    co_return Phase::Retry;
}

Task<bool> StatementRunner::pin(BootTime until, StatementAnswer& answer)
{
    if (m_transaction->lease)
        co_return true;
    std::set<std::string> excluded;
    while (true) {
        ++answer.attempts;
        const auto phase = co_await openTransaction(excluded, until, answer);
        if (m_transaction->lease) {
            answer.code.reset();
            co_return true;
        }
        if (phase == Phase::Done || answer.attempts >= maxAttempts || BootClock::now() + minAttemptTime >= until)
            break;
        co_await sleepFor(m_io, retryPause);
    }
    // Nothing of the transaction has run.
    m_transaction->failed = true;
    answer.state = TransactionState::Failed;
    co_return false;
}

Task<StatementAnswer> StatementRunner::runInTransaction(const std::string& id, const Statement& statement)
{
    StatementAnswer answer;
    const auto writing = writes(statement);
    if (!writing) {
        refuse(answer, ErrorCode::UnknownStatement, "no such prepared statement");
        co_return answer;
    }
    const auto until = BootClock::now() + m_transaction->route.statementTimeout - answerMargin;
    if (!co_await pin(until, answer))
        co_return answer;
    auto& lease = *m_transaction->lease;
    answer.endpoint = lease.endpointId();
    auto& connection = lease.connection();
    auto& service = lease.service();
    if (co_await replaySession(lease, until) != ExchangeStatus::Ok) {
        service.noteFailure(lease.endpoint(), "session replay");
        failTransaction(answer, "connection to the endpoint broke");
        co_return answer;
    }
    const auto prepared = prepare(lease, statement);
    const auto sentAt = BootClock::now();
    auto status = co_await connection.send(prepared.preamble + WireDialect::query(id, prepared.text, std::nullopt), prepared.preambleReplies + 1, until);
    DatabaseReply reply;
    for (int n = 0; n <= prepared.preambleReplies && status == ExchangeStatus::Ok; ++n)
        status = co_await connection.receive(reply, until);
    if (status != ExchangeStatus::Ok) {
        service.noteFailure(lease.endpoint(), status == ExchangeStatus::TimedOut ? "no answer" : "connection broke");
        failTransaction(answer, "the endpoint did not answer");
        co_return answer;
    }
    service.noteAnswer(lease.endpoint(), sentAt);
    if (!prepared.connectionName.empty() && reply.code != ErrorCode::UnknownStatement)
        connection.state().notePrepared(prepared.connectionName);
    m_transaction->wrote = m_transaction->wrote || *writing;
    answer.code = reply.code;
    answer.reason = reply.isSuccess() ? "answered" : "endpoint refused";
    answer.body = std::move(reply.body);
    if (reply.state != TransactionState::Open) {
        // The database has ended the transaction or waits for its end; either way nothing of it is kept.
        m_transaction->lease.reset();
        m_transaction->failed = true;
    }
    if (reply.code == ErrorCode::ReadOnly) {
        if (const auto endpoint = service.find(answer.endpoint))
            service.noteNotPrimary(*endpoint);
    }
    answer.state = transactionState();
    co_return answer;
}

Task<StatementAnswer> StatementRunner::commit(const std::string& id, const Statement& statement)
{
    StatementAnswer answer;
    if (!m_transaction) {
        refuse(answer, ErrorCode::Malformed, "no transaction is open");
        co_return answer;
    }
    const auto until = BootClock::now() + m_transaction->route.statementTimeout - answerMargin;
    bool isPinned = false;
    if (!m_transaction->failed)
        isPinned = co_await pin(until, answer);
    if (!isPinned) {
        const bool wasRefused = answer.code.has_value();
        m_transaction.reset();
        if (wasRefused)
            answer.state = TransactionState::None;
        else
            refuse(answer, ErrorCode::Aborted, "the transaction had failed");
        co_return answer;
    }
    const auto service = m_registry.find(m_transaction->route.service);
    auto lease = std::move(*m_transaction->lease);
    const bool wrote = m_transaction->wrote;
    m_transaction.reset();
    answer.endpoint = lease.endpointId();
    auto status = co_await replaySession(lease, until);
    const bool wasReplayed = status == ExchangeStatus::Ok;
    const auto sentAt = BootClock::now();
    if (wasReplayed)
        status = co_await lease.connection().send(WireDialect::query(id, statement.text, std::nullopt), 1, until);
    const bool maybeSent = wasReplayed && status != ExchangeStatus::NotSent;
    DatabaseReply reply;
    if (status == ExchangeStatus::Ok)
        status = co_await lease.connection().receive(reply, until);
    if (status != ExchangeStatus::Ok) {
        service->noteFailure(lease.endpoint(), status == ExchangeStatus::TimedOut ? "no answer" : "connection broke");
        if (maybeSent && wrote)
            refuse(answer, status == ExchangeStatus::TimedOut ? ErrorCode::Timeout : ErrorCode::InDoubt, "COMMIT was sent and its answer was lost");
        else
            refuse(answer, ErrorCode::Aborted, wrote ? "connection broke before COMMIT" : "connection broke; the transaction wrote nothing");
        co_return answer;
    }
    service->noteAnswer(lease.endpoint(), sentAt);
    answer.code = reply.code;
    answer.body = std::move(reply.body);
    answer.reason = reply.isSuccess() ? "answered" : "endpoint refused";
    if (reply.isSuccess() && wrote) {
        service->notePrimary(lease.endpoint(), reply.position, sentAt);
        noteCommit(reply);
    } else if (reply.code == ErrorCode::ReadOnly) {
        service->noteNotPrimary(lease.endpoint());
    }
    co_return answer;
}

} // namespace kumquatbank
