#pragma once

#include "ConnectionLease.h"

namespace kumquatbank {

/// Result of sending one statement on a database connection.
struct StatementExchange {
    ExchangeStatus status = ExchangeStatus::NotSent;
    BootTime sentAt {};
    DatabaseReply reply; ///< Valid if the status is Ok.

    /// Returns true if the database may have run the statement.
    bool wasSent() const { return status != ExchangeStatus::NotSent && status != ExchangeStatus::Refused; }
};

/// Applies the session's values to the connection, after a reset if it holds values of another session. The connection
/// is closed on failure. @p request: id of the client's statement that needs it, for logs.
Task<ExchangeStatus> replaySession(ConnectionLease& lease, const SessionState& session, const std::string& request, BootTime until);

/// Begins a transaction, and prepares @p first on the connection if necessary: outside the transaction, so that its end
/// leaves no doubt about the prepared name. @p first: the statement that follows; may be null. The status is Refused if the
/// endpoint refused to prepare it or is in another state than it should be; the reply is that to BEGIN.
Task<StatementExchange> beginTransaction(ConnectionLease& lease, const SessionState& session, const std::string& id, const Statement* first, bool isReadOnly, std::optional<LogPosition> floor, BootTime until);

/// Sends a statement and waits for its answer. A prepared statement is first prepared on the connection if necessary.
/// The status is Refused if the endpoint refused that, so that the statement has not run.
/// @p floor: log position that the endpoint must have applied. @p rollsBack: sends a rollback after the statement to
/// end its transaction.
Task<StatementExchange> exchangeStatement(ConnectionLease& lease, const SessionState& session, const std::string& id, const Statement& statement, std::optional<LogPosition> floor, bool rollsBack, BootTime until);

} // namespace kumquatbank
