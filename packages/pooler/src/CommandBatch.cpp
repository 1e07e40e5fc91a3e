#include "CommandBatch.h"

#include <algorithm>

namespace kumquatbank {

using Kind = ConnectionCommand::Kind;

void CommandBatch::addStart(const EndpointEntry& endpoint, std::string_view clientName)
{
    m_lines += WireDialect::start(endpoint.service, clientName, endpoint.id);
    m_commands.push_back({ Kind::Start });
}

void CommandBatch::addStatement(std::string_view id, const Statement& statement, std::string_view text, std::optional<LogPosition> floor)
{
    m_lines += WireDialect::query(id, text, floor);
    m_commands.push_back({ statement.kind == StatementKind::Commit ? Kind::Commit : Kind::Statement });
}

void CommandBatch::addExecute(std::string_view id, const std::string& connectionName, std::string_view arguments, std::optional<LogPosition> floor)
{
    m_lines += WireDialect::query(id, WireDialect::executeText(connectionName, arguments), floor);
    m_commands.push_back({ Kind::Execute, connectionName });
}

void CommandBatch::addPrepare(const PreparedStatement& statement)
{
    m_lines += WireDialect::prepare(statement.connectionName, statement.writes, statement.shape);
    m_commands.push_back({ Kind::Prepare, statement.connectionName });
}

void CommandBatch::addValue(const std::string& name, const std::string& value)
{
    m_lines += WireDialect::setValue(name, value);
    m_commands.push_back({ Kind::SetValue, name, value });
}

void CommandBatch::addReset()
{
    m_lines += WireDialect::reset();
    m_commands.push_back({ Kind::Reset });
}

void CommandBatch::addBegin(bool isReadOnly, std::optional<LogPosition> floor)
{
    m_lines += WireDialect::begin(isReadOnly, floor);
    m_commands.push_back({ Kind::Begin });
}

void CommandBatch::addRollback()
{
    m_lines += WireDialect::rollback();
    m_commands.push_back({ Kind::Rollback });
}

void CommandBatch::addControl(std::string_view line)
{
    m_lines += line;
    m_commands.push_back({ Kind::Control });
}

bool CommandBatch::mayClearPrepared() const
{
    return std::ranges::any_of(m_commands, &ConnectionCommand::mayClearPrepared);
}

void CommandBatch::addForwarded(std::string_view line, ConnectionCommand command)
{
    m_lines.append(line).append("\r\n");
    m_commands.push_back(std::move(command));
}

} // namespace kumquatbank
