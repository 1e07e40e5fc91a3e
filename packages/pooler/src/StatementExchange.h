#pragma once

#include "ConnectionLease.h"

namespace kumquatbank {

/// How one statement went on a database connection.
struct StatementExchange {
    ExchangeStatus status = ExchangeStatus::NotSent;
    BootTime sentAt {};
    DatabaseReply reply; ///< Valid if the status is Ok.

    /// True if the database may have run the statement.
    bool wasSent() const { return status != ExchangeStatus::NotSent; }
};

/// Gives the connection the session's values, after a reset if it holds others. A connection on which this fails is
/// closed.
Task<ExchangeStatus> replaySession(ConnectionLease& lease, const SessionState& session, BootTime until);

/// Sends a statement and waits for its answer, preparing it first where the connection lacks it. @p floor: position that
/// the endpoint must have applied. @p rollsBack: ends the transaction in which the statement runs.
Task<StatementExchange> exchangeStatement(ConnectionLease& lease, const SessionState& session, const std::string& id, const Statement& statement, std::optional<LogPosition> floor, bool rollsBack, BootTime until);

} // namespace kumquatbank
