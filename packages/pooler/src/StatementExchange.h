#pragma once

#include "ConnectionLease.h"

namespace kumquatbank {

/// Result of sending one statement on a database connection.
struct StatementExchange {
    ExchangeStatus status = ExchangeStatus::NotSent;
    BootTime sentAt {};
    DatabaseReply reply; ///< Valid if the status is Ok.

    /// Returns true if the database may have run the statement.
    bool wasSent() const { return status != ExchangeStatus::NotSent; }
};

/// Applies the session's values to the connection, after a reset if it holds values of another session. The connection
/// is closed on failure.
Task<ExchangeStatus> replaySession(ConnectionLease& lease, const SessionState& session, BootTime until);

/// Sends a statement and waits for its answer. A prepared statement is first prepared on the connection if necessary.
/// @p floor: log position that the endpoint must have applied. @p rollsBack: sends a rollback after the statement to
/// end its transaction.
Task<StatementExchange> exchangeStatement(ConnectionLease& lease, const SessionState& session, const std::string& id, const Statement& statement, std::optional<LogPosition> floor, bool rollsBack, BootTime until);

} // namespace kumquatbank
