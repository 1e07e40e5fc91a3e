#include "DatabaseConnection.h"

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
    const auto start = WireDialect::start(endpoint.service, account.empty() ? hostName : account, endpoint.id);
    if (co_await connection->send(start, 1, until) != ExchangeStatus::Ok)
        co_return result;
    DatabaseReply reply;
    const auto status = co_await connection->receive(reply, until);
    result.refusal = reply.code;
    if (status == ExchangeStatus::Ok && reply.isSuccess())
        result.connection = std::move(connection);
    co_return result;
}

std::uint64_t DatabaseConnection::nextNumber()
{
    static std::uint64_t number = 0;
    return ++number;
}

Task<ExchangeStatus> DatabaseConnection::send(std::string commands, int replies, BootTime until)
{
    if (m_channel.isClosedByPeer()) {
        m_channel.close();
        co_return ExchangeStatus::NotSent;
    }
    m_pendingReplies += replies;
    const auto status = co_await m_channel.write(commands, until);
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
            reply.state = m_transaction = parsed.state;
            reply.position = parsed.position;
            reply.ready = line;
            --m_pendingReplies;
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

Task<ExchangeStatus> DatabaseConnection::exchange(std::string commands, std::vector<DatabaseReply>& replies, std::size_t n, BootTime until)
{
    replies.assign(n, {});
    auto status = co_await send(std::move(commands), static_cast<int>(n), until);
    for (std::size_t i = 0; i < n && status == ExchangeStatus::Ok; ++i)
        status = co_await receive(replies[i], until);
    co_return status;
}

} // namespace kumquatbank
