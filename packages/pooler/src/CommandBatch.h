#pragma once

#include "kumquatbank/adapter/WireDialect.h"
#include "kumquatbank/routing/ConnectionCommand.h"
#include "kumquatbank/routing/EndpointEntry.h"
#include "kumquatbank/routing/SessionState.h"

#include <vector>

namespace kumquatbank {

/// Commands that are sent to a database together, each of which gets one answer.
class CommandBatch {
public:
    CommandBatch() { m_commands.reserve(usualSize); }

    void addStart(const EndpointEntry& endpoint, std::string_view clientName);
    /// Adds a statement of a client. @p text: as the database is to read it.
    void addStatement(std::string_view id, const Statement& statement, std::string_view text, std::optional<LogPosition> floor);
    /// Adds a client's execution of a statement that the connection holds as @p connectionName.
    void addExecute(std::string_view id, const std::string& connectionName, std::string_view arguments, std::optional<LogPosition> floor);
    void addPrepare(const PreparedStatement& statement);
    void addValue(const std::string& name, const std::string& value);
    void addReset();
    void addBegin(bool isReadOnly, std::optional<LogPosition> floor);
    void addRollback();
    /// Adds a command that concerns the database, not the connection. @p line: complete, with its terminator.
    void addControl(std::string_view line);
    /// Adds a line of another host, without its terminator.
    void addForwarded(std::string_view line, ConnectionCommand command);

    bool isEmpty() const { return m_commands.empty(); }
    /// Number of commands, and so of answers.
    std::size_t size() const { return m_commands.size(); }
    /// Returns true if an answer to one of the commands may mean that prepared statements are gone.
    bool mayClearPrepared() const;
    /// Size of the lines, in bytes.
    std::size_t bytes() const { return m_lines.size(); }
    const std::string& lines() const { return m_lines; }
    /// Moves the commands out.
    std::vector<ConnectionCommand> takeCommands() { return std::move(m_commands); }

private:
    /// A statement, and what is sent with it.
    static constexpr std::size_t usualSize = 2;

    std::string m_lines;
    std::vector<ConnectionCommand> m_commands;
};

} // namespace kumquatbank
