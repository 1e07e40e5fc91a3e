#include "kumquatbank/routing/ConnectionState.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace kumquatbank {

namespace {

    using Kind = ConnectionCommand::Kind;

    std::size_t valueBytes(const std::string& name, const std::string& value) { return name.size() + value.size() + SessionState::bytesPerName; }

    /// Returns whether the answer to a command that was sent in state @p before can leave the connection in @p after.
    bool isExpected(Kind command, bool isSuccess, TransactionState before, TransactionState after)
    {
        switch (command) {
        case Kind::Begin:
            return isSuccess ? after == TransactionState::Open : after == before || before != TransactionState::None;
        case Kind::Commit:
        case Kind::Rollback:
            return after == TransactionState::None || (!isSuccess && before != TransactionState::None);
        default:
            break;
        }
        if (before == TransactionState::None || isSuccess)
            return after == before && before != TransactionState::Failed;
        // A transaction fails with an error, and goes on only if it had not failed before.
        return after != TransactionState::Open || before == TransactionState::Open;
    }

} // namespace

void ConnectionState::recordSent(ConnectionCommand command) { m_sent.push_back(std::move(command)); }

ConnectionCommand ConnectionState::recordReply(std::optional<ErrorCode> code, TransactionState transaction)
{
    if (pendingReplies() == 0) {
        m_doubt = "an answer to no command";
        return {};
    }
    auto command = std::move(m_sent[m_answered]);
    if (++m_answered == m_sent.size()) {
        m_sent.clear();
        m_answered = 0;
    }
    if (code)
        applyError(command, *code);
    else
        applySuccess(command);
    applyTransaction(command.kind, !code, transaction);
    return command;
}

void ConnectionState::applySuccess(const ConnectionCommand& command)
{
    switch (command.kind) {
    case Kind::SetValue:
        recordUncommitted();
        setValue(command.name, command.value);
        break;
    case Kind::Prepare:
        recordUncommitted();
        m_prepared.insert(command.name);
        break;
    case Kind::Execute:
        // The database has run it, so it holds the name, also if the answer to a PREPARE said otherwise.
        if (m_prepared.insert(command.name).second)
            recordUncommitted();
        break;
    case Kind::Reset:
        m_values.clear();
        m_valueBytes = 0;
        m_prepared.clear();
        m_isResetDue = false;
        recordUncommitted();
        break;
    case Kind::Unknown:
        m_doubt = "a command of unknown effect";
        break;
    default:
        break;
    }
}

void ConnectionState::applyError(const ConnectionCommand& command, ErrorCode code)
{
    if (command.isSessionState() && mayHaveRun(code))
        m_doubt = "a command on the session's state may have run";
    else if (command.kind == Kind::Unknown && mayHaveRun(code))
        m_doubt = "a command of unknown effect";
    else if (command.kind == Kind::Execute && code == ErrorCode::UnknownStatement && m_prepared.contains(command.name))
        m_doubt = "a prepared statement that the connection should hold is unknown";
}

void ConnectionState::applyTransaction(Kind command, bool isSuccess, TransactionState after)
{
    if (!isExpected(command, isSuccess, m_transaction, after))
        m_doubt = "an unexpected transaction state";
    const bool hasEnded = m_transaction != TransactionState::None && after == TransactionState::None;
    const bool wasCommitted = command == Kind::Commit && isSuccess && m_transaction == TransactionState::Open;
    if (hasEnded && !wasCommitted && m_hasUncommittedState)
        m_isResetDue = true;
    if (after == TransactionState::None)
        m_hasUncommittedState = false;
    m_transaction = after;
}

bool ConnectionState::needsReset(const SessionState& session) const
{
    return isResetDue() || std::ranges::any_of(m_values, [&](const auto& item) { return !session.values.contains(item.first); });
}

SessionState::Values ConnectionState::missingValues(const SessionState& session) const
{
    if (needsReset(session))
        return session.values;
    SessionState::Values missing;
    std::ranges::copy_if(session.values, std::inserter(missing, missing.end()), [&](const auto& item) {
        const auto it = m_values.find(item.first);
        return it == m_values.end() || it->second != item.second;
    });
    return missing;
}

bool ConnectionState::hasPrepared(const std::string& connectionName) const
{
    return !isResetDue() && m_prepared.contains(connectionName) && std::ranges::none_of(std::span(m_sent).subspan(m_answered), &ConnectionCommand::mayClearPrepared);
}

void ConnectionState::setValue(const std::string& name, std::string value)
{
    const auto it = m_values.find(name);
    if (it != m_values.end())
        m_valueBytes -= valueBytes(name, it->second);
    m_valueBytes += valueBytes(name, value);
    m_values[name] = std::move(value);
}

} // namespace kumquatbank
