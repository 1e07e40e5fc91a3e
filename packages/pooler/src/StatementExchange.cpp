#include "StatementExchange.h"

#include "DatabaseService.h"
#include "kumquatbank/engine/EventLog.h"

namespace kumquatbank {

namespace {

    /// Statement text for the database, and the command that must precede it.
    struct PreparedCommand {
        std::string preamble;
        int preambleReplies = 0;
        std::string connectionName;
        std::string text;
    };

    PreparedCommand buildCommand(const ConnectionState& connection, const SessionState& session, const Statement& statement)
    {
        PreparedCommand prepared;
        prepared.text = statement.text;
        if (statement.kind != StatementKind::Execute)
            return prepared;
        const auto& preparedStatement = session.prepared.at(statement.name);
        prepared.text = WireDialect::executeText(preparedStatement.connectionName, statement.argument);
        if (!connection.hasPrepared(preparedStatement.connectionName)) {
            prepared.preamble = WireDialect::prepare(preparedStatement.connectionName, preparedStatement.writes, preparedStatement.shape);
            prepared.preambleReplies = 1;
            prepared.connectionName = preparedStatement.connectionName;
        }
        return prepared;
    }

} // namespace

Task<ExchangeStatus> replaySession(ConnectionLease& lease, const SessionState& session, BootTime until)
{
    auto& connection = lease.connection();
    auto& state = connection.state();
    if (state.hasSameValuesAs(session))
        co_return ExchangeStatus::Ok;
    const bool needsReset = state.needsReset(session);
    const auto values = state.missingValues(session);
    std::string commands = needsReset ? WireDialect::reset() : "";
    for (const auto& [name, value] : values)
        commands += WireDialect::setValue(name, value);
    std::vector<DatabaseReply> replies;
    const auto status = co_await connection.exchange(std::move(commands), replies, values.size() + (needsReset ? 1 : 0), until);
    const bool isDone = status == ExchangeStatus::Ok && std::ranges::all_of(replies, &DatabaseReply::isSuccess);
    const auto refused = std::ranges::find_if(replies, [](const DatabaseReply& reply) { return reply.code.has_value(); });
    if (refused != replies.end())
        lease.recordRefusedCommand(needsReset && refused == replies.begin() ? "reset" : "set", "", *refused->code, refused->state);
    if (!isDone) {
        connection.close();
        lease.recordFailure("session replay");
        co_return status == ExchangeStatus::Ok ? ExchangeStatus::Broken : status;
    }
    if (needsReset)
        state.recordReset();
    for (const auto& [name, value] : values)
        state.recordValue(name, value);
    co_return ExchangeStatus::Ok;
}

Task<StatementExchange> exchangeStatement(ConnectionLease& lease, const SessionState& session, const std::string& id, const Statement& statement, std::optional<LogPosition> floor, bool rollsBack, BootTime until)
{
    auto& connection = lease.connection();
    auto prepared = buildCommand(connection.state(), session, statement);
    StatementExchange exchange;
    exchange.sentAt = BootClock::now();
    auto commands = prepared.preamble + WireDialect::query(id, prepared.text, floor) + (rollsBack ? WireDialect::rollback() : "");
    prepared.text = {}; // May be long, and is not needed while the answer is awaited.
    exchange.status = co_await connection.send(std::move(commands), prepared.preambleReplies + (rollsBack ? 2 : 1), until);
    for (int n = 0; n <= prepared.preambleReplies && exchange.status == ExchangeStatus::Ok; ++n) {
        exchange.status = co_await connection.receive(exchange.reply, until);
        if (n >= prepared.preambleReplies || exchange.status != ExchangeStatus::Ok)
            continue;
        if (exchange.reply.isSuccess())
            connection.state().recordPrepared(prepared.connectionName);
        else
            lease.recordRefusedCommand("prepare", id, *exchange.reply.code, exchange.reply.state);
    }
    if (exchange.status != ExchangeStatus::Ok) {
        lease.recordFailure(exchange.status == ExchangeStatus::TimedOut ? "no answer" : "connection broke");
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
    if (exchange.reply.code == ErrorCode::UnknownStatement)
        EventLog::warn("prepared_name_unknown", { { "request", id }, { "endpoint", lease.endpointId() }, { "connection", connection.number() }, { "lender", lease.lender() }, { "was_expected", prepared.connectionName.empty() } });
    co_return exchange;
}

} // namespace kumquatbank
