#include "DatabaseConnection.h"

#include "kumquatbank/engine/EventLog.h"

namespace kumquatbank {

namespace {

    /// Limit on the rows and errors of one reply together. The connection is closed if a reply exceeds it.
    constexpr std::size_t maxReplyBytes = 8 << 20;
    /// A reply up to this size is not counted in the memory budget. Nearly all replies are smaller.
    constexpr std::size_t uncountedReplyBytes = 16 << 10;
    /// Longer rows are not kept a second time; the row of STATUS is far shorter.
    constexpr std::size_t maxFirstRowBytes = 4096;
    /// The connection is closed if sent data stays unacknowledged for this long. A database drops unreachable peers
    /// after the same time.
    constexpr std::chrono::milliseconds unacknowledgedDataTimeout { 3000 };

} // namespace

Task<DatabaseConnection::OpenResult> DatabaseConnection::open(asio::io_context& io, EndpointEntry endpoint, std::string account, std::string hostName, std::chrono::milliseconds timeout)
{
    const auto connectStartedAt = BootClock::now();
    const auto until = connectStartedAt + timeout;
    OpenResult result;
    auto channel = co_await LineChannel::connect(io, endpoint.address, WireDialect::maxMessageBytes, timeout, unacknowledgedDataTimeout);
    if (!channel)
        co_return result;
    result.roundTrip = std::chrono::duration_cast<std::chrono::microseconds>(BootClock::now() - connectStartedAt);
    auto connection = std::make_unique<DatabaseConnection>(std::move(*channel), account);
    CommandBatch start;
    start.addStart(endpoint, account.empty() ? hostName : account);
    if (co_await connection->send(std::move(start), until) != ExchangeStatus::Ok)
        co_return result;
    DatabaseReply reply;
    const auto status = co_await connection->receive(reply, until);
    result.refusal = reply.code;
    if (status == ExchangeStatus::Ok && reply.isSuccess() && connection->isReusable())
        result.connection = std::move(connection);
    co_return result;
}

std::uint64_t DatabaseConnection::nextNumber()
{
    static std::uint64_t number = 0;
    return ++number;
}

bool DatabaseConnection::hasEnded()
{
    const bool awaitsAnswers = m_state.pendingReplies() > 0;
    if (!awaitsAnswers && m_channel.isQuiet())
        return false;
    if (awaitsAnswers || m_channel.isClosedByPeer())
        return m_channel.isClosedByPeer();
    EventLog::warn("connection_in_doubt", { { "connection", m_number }, { "account", m_account }, { "reason", "an answer to no command" } });
    return true;
}

Task<ExchangeStatus> DatabaseConnection::send(CommandBatch batch, BootTime until)
{
    if (m_state.isInDoubt() || hasEnded()) {
        m_channel.close();
        co_return ExchangeStatus::NotSent;
    }
    for (auto& command : batch.takeCommands())
        m_state.recordSent(std::move(command));
    const auto status = co_await m_channel.write(batch.lines(), until);
    if (status == ChannelStatus::Ok)
        co_return ExchangeStatus::Ok;
    m_channel.close();
    co_return status == ChannelStatus::TimedOut ? ExchangeStatus::TimedOut : ExchangeStatus::Broken;
}

Task<ExchangeStatus> DatabaseConnection::receive(DatabaseReply& reply, BootTime until)
{
    reply = {};
    MemoryHold hold;
    while (true) {
        std::string_view line;
        const auto status = co_await m_channel.readLine(line, until);
        if (status != ChannelStatus::Ok) {
            // Closed, because a late reply would be taken for the reply to the next statement.
            m_channel.close();
            co_return status == ChannelStatus::TimedOut ? ExchangeStatus::TimedOut : ExchangeStatus::Broken;
        }
        const auto parsed = WireDialect::parseDatabaseLine(line);
        const auto size = reply.body.size() + line.size();
        // Twice the size, because a growing string exists twice for a moment.
        const bool hasRoom = size <= uncountedReplyBytes || (size <= maxReplyBytes && hold.resize(MemoryUse::Answer, 2 * size));
        if (parsed.kind == DatabaseLine::Kind::Unknown || !hasRoom) {
            m_channel.close();
            co_return ExchangeStatus::Broken;
        }
        if (parsed.kind == DatabaseLine::Kind::Ready) {
            reply.state = parsed.state;
            reply.position = parsed.position;
            reply.ready = line;
            recordReply(reply);
            m_channel.releaseSpareInput(); // The connection may be idle after this reply.
            co_return ExchangeStatus::Ok;
        }
        if (parsed.kind == DatabaseLine::Kind::Error)
            reply.code = parsed.code;
        if (parsed.kind == DatabaseLine::Kind::Row && reply.firstRow.empty() && parsed.text.size() <= maxFirstRowBytes)
            reply.firstRow = parsed.text;
        reply.body.append(line).append("\r\n");
    }
}

Task<ExchangeStatus> DatabaseConnection::exchange(CommandBatch batch, std::vector<DatabaseReply>& replies, BootTime until)
{
    replies.assign(batch.size(), {});
    auto status = co_await send(std::move(batch), until);
    for (std::size_t i = 0; i < replies.size() && status == ExchangeStatus::Ok; ++i)
        status = co_await receive(replies[i], until);
    co_return status;
}

void DatabaseConnection::recordReply(const DatabaseReply& reply)
{
    const bool wasInDoubt = m_state.isInDoubt();
    const auto before = m_state.transaction();
    const auto command = m_state.recordReply(reply.code, reply.state);
    if (wasInDoubt || !m_state.isInDoubt())
        return;
    EventLog::warn("connection_in_doubt", { { "connection", m_number }, { "account", m_account }, { "reason", m_state.doubt() }, { "command", connectionCommandName(command.kind) }, { "code", reply.code ? errorCodeName(*reply.code) : "ok" }, { "state_before", transactionStateName(before) }, { "state", transactionStateName(reply.state) } });
}

} // namespace kumquatbank
