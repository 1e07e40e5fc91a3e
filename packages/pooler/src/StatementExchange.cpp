#include "StatementExchange.h"

#include "DatabaseService.h"
#include "kumquatbank/engine/EventLog.h"

namespace kumquatbank {

namespace {

    using Kind = ConnectionCommand::Kind;

    /// Adds a PREPARE if @p statement runs a prepared statement that the connection does not hold. Returns whether it did.
    bool addPreparation(CommandBatch& batch, const ConnectionState& connection, const SessionState& session, const Statement& statement)
    {
        if (statement.kind != StatementKind::Execute)
            return false;
        const auto& prepared = session.prepared.at(statement.name);
        if (connection.hasPrepared(prepared.connectionName))
            return false;
        batch.addPrepare(prepared);
        return true;
    }

    void addStatement(CommandBatch& batch, const SessionState& session, const std::string& id, const Statement& statement, std::optional<LogPosition> floor)
    {
        if (statement.kind == StatementKind::Execute)
            batch.addExecute(id, session.prepared.at(statement.name).connectionName, statement.argument, floor);
        else
            batch.addStatement(id, statement, statement.text, floor);
    }

    /// Returns true if the statement has not run, because the endpoint refused to prepare it. The database then does not know
    /// the name, or has ended the transaction.
    bool hasNotRun(const DatabaseReply& preparation, const DatabaseReply& reply)
    {
        return !preparation.isSuccess() && (reply.code == ErrorCode::UnknownStatement || reply.code == ErrorCode::Malformed);
    }

    std::string_view failureText(ExchangeStatus status) { return status == ExchangeStatus::TimedOut ? "no answer" : "connection broke"; }

} // namespace

Task<ExchangeStatus> replaySession(ConnectionLease& lease, const SessionState& session, const std::string& request, BootTime until)
{
    auto& connection = lease.connection();
    const auto& state = connection.state();
    if (state.hasSameValuesAs(session))
        co_return ExchangeStatus::Ok;
    CommandBatch batch;
    const bool needsReset = state.needsReset(session);
    if (needsReset)
        batch.addReset();
    for (const auto& [name, value] : state.missingValues(session))
        batch.addValue(name, value);
    std::vector<DatabaseReply> replies;
    const auto status = co_await connection.exchange(std::move(batch), replies, until);
    const auto refused = std::ranges::find_if_not(replies, &DatabaseReply::isSuccess);
    if (refused != replies.end())
        lease.recordRefusedCommand(needsReset && refused == replies.begin() ? Kind::Reset : Kind::SetValue, request, *refused->code);
    if (status == ExchangeStatus::Ok && refused == replies.end() && !state.isInDoubt())
        co_return ExchangeStatus::Ok;
    connection.close();
    if (status == ExchangeStatus::Ok)
        co_return ExchangeStatus::Refused;
    lease.recordFailure("session replay");
    co_return status;
}

Task<StatementExchange> beginTransaction(ConnectionLease& lease, const SessionState& session, const std::string& id, const Statement* first, bool isReadOnly, std::optional<LogPosition> floor, BootTime until)
{
    auto& connection = lease.connection();
    CommandBatch batch;
    const bool prepares = first != nullptr && addPreparation(batch, connection.state(), session, *first);
    batch.addBegin(isReadOnly, floor);
    StatementExchange exchange;
    exchange.sentAt = BootClock::now();
    std::vector<DatabaseReply> replies;
    exchange.status = co_await connection.exchange(std::move(batch), replies, until);
    if (exchange.status != ExchangeStatus::Ok) {
        lease.recordFailure("begin");
        co_return exchange;
    }
    lease.recordAnswer(exchange.sentAt);
    const bool isUnprepared = prepares && !replies.front().isSuccess();
    if (isUnprepared)
        lease.recordRefusedCommand(Kind::Prepare, id, *replies.front().code);
    if (isUnprepared || connection.state().isInDoubt()) {
        connection.close();
        exchange.status = ExchangeStatus::Refused;
    }
    exchange.reply = std::move(replies.back());
    co_return exchange;
}

Task<StatementExchange> exchangeStatement(ConnectionLease& lease, const SessionState& session, const std::string& id, const Statement& statement, std::optional<LogPosition> floor, bool rollsBack, BootTime until)
{
    auto& connection = lease.connection();
    CommandBatch batch;
    const bool prepares = addPreparation(batch, connection.state(), session, statement);
    addStatement(batch, session, id, statement, floor);
    if (rollsBack)
        batch.addRollback();
    StatementExchange exchange;
    exchange.sentAt = BootClock::now();
    exchange.status = co_await connection.send(std::move(batch), until);
    DatabaseReply preparation;
    if (prepares && exchange.status == ExchangeStatus::Ok)
        exchange.status = co_await connection.receive(preparation, until);
    if (exchange.status == ExchangeStatus::Ok)
        exchange.status = co_await connection.receive(exchange.reply, until);
    if (exchange.status != ExchangeStatus::Ok) {
        lease.recordFailure(failureText(exchange.status));
        if (exchange.wasSent())
            lease.recordOutcome(StatementOutcome::Unanswered, exchange.sentAt);
        co_return exchange;
    }
    if (rollsBack) {
        // The client does not receive the reply to the rollback; it is read here so that the connection stays reusable.
        DatabaseReply ignored;
        if (co_await connection.receive(ignored, until) != ExchangeStatus::Ok)
            connection.close();
    }
    lease.recordAnswer(exchange.sentAt);
    lease.service().recordStatement(lease.endpoint(), exchange.sentAt, exchange.reply.code == ErrorCode::Busy);
    lease.recordOutcome(outcomeOf(exchange.reply.code), exchange.sentAt);
    if (prepares && !preparation.isSuccess())
        lease.recordRefusedCommand(Kind::Prepare, id, *preparation.code);
    if (exchange.reply.code == ErrorCode::UnknownStatement)
        EventLog::warn("prepared_name_unknown", { { "request", id }, { "endpoint", lease.endpointId() }, { "connection", connection.number() }, { "lender", lease.lender() }, { "was_expected", !prepares } });
    if (hasNotRun(preparation, exchange.reply))
        exchange.status = ExchangeStatus::Refused;
    co_return exchange;
}

} // namespace kumquatbank
