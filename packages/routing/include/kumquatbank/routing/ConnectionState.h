#pragma once

#include "kumquatbank/routing/ConnectionCommand.h"
#include "kumquatbank/routing/SessionState.h"
#include "kumquatbank/routing/StatementError.h"
#include "kumquatbank/routing/TransactionState.h"

#include <optional>
#include <set>
#include <span>
#include <vector>

namespace kumquatbank {

/// What a database connection holds: its transaction, and the values and prepared statements of the sessions it served.
/// Only answers of the database change it. Where an answer leaves the state open, the connection is in doubt for good, or
/// due for a reset; in both cases it must not serve another session as it is.
class ConnectionState {
public:
    /// Records a command that is about to be sent. Answers arrive in the order of the commands.
    void recordSent(ConnectionCommand command);
    /// Applies the answer to the oldest command without one. @p code: error of the answer; empty if it succeeded.
    /// @p transaction: state that the answer reports. Returns the command.
    ConnectionCommand recordReply(std::optional<ErrorCode> code, TransactionState transaction);

    /// Commands without an answer.
    std::size_t pendingReplies() const { return m_sent.size() - m_answered; }
    TransactionState transaction() const { return m_transaction; }

    /// Why the state is not known; empty if it is.
    std::string_view doubt() const { return m_doubt; }
    bool isInDoubt() const { return !m_doubt.empty(); }
    /// Returns true if values or prepared statements are not known until a reset: those of a transaction that was not
    /// committed, of which the database may have kept any or none.
    bool isResetDue() const { return m_isResetDue; }
    /// Returns true if a rollback now would make a reset due.
    bool hasUncommittedState() const { return m_hasUncommittedState; }

    /// Returns true if a session can use the connection after its values are replayed.
    bool isReusable() const { return !isInDoubt() && !isResetDue() && pendingReplies() == 0 && m_transaction == TransactionState::None && isSmall(); }
    /// Returns true if the connection is known well enough to be made reusable by a rollback, a reset or both.
    bool needsCleanUp() const { return !isInDoubt() && pendingReplies() == 0 && (m_transaction != TransactionState::None || isResetDue()); }

    /// True if the connection holds values that the session has not set; only a reset removes them.
    bool needsReset(const SessionState& session) const;
    /// Values of the session that have to be set on the connection; after the reset if one is needed.
    SessionState::Values missingValues(const SessionState& session) const;
    bool hasSameValuesAs(const SessionState& session) const { return !isResetDue() && m_values == session.values; }
    /// Returns whether the connection holds the statement and keeps it, whatever the pending answers are.
    bool hasPrepared(const std::string& connectionName) const;

    /// False if the connection keeps more than a session in ordinary use sets; it is then closed after its use.
    bool isSmall() const { return m_valueBytes <= maxKeptBytes && m_prepared.size() <= SessionState::maxNames; }

private:
    /// Idle connections are the only memory of sessions that have ended, so each keeps little.
    static constexpr std::size_t maxKeptBytes = 16 << 10;

    void applySuccess(const ConnectionCommand& command);
    void applyError(const ConnectionCommand& command, ErrorCode code);
    /// Sets the transaction state after the answer to @p command, or a doubt if the answer does not allow that state.
    void applyTransaction(ConnectionCommand::Kind command, bool isSuccess, TransactionState after);
    void setValue(const std::string& name, std::string value);
    void recordUncommitted() { m_hasUncommittedState = m_hasUncommittedState || m_transaction != TransactionState::None; }

    std::vector<ConnectionCommand> m_sent; ///< Until all of them are answered.
    std::size_t m_answered = 0; ///< Commands at the front of m_sent that are answered.
    TransactionState m_transaction = TransactionState::None;
    std::string_view m_doubt; ///< A literal.
    bool m_hasUncommittedState = false; ///< Values or prepared statements were added in the open transaction.
    bool m_isResetDue = false;
    SessionState::Values m_values;
    std::size_t m_valueBytes = 0;
    std::set<std::string> m_prepared;
};

} // namespace kumquatbank
