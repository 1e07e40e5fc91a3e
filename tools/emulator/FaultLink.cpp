#include "FaultLink.h"

#include <array>
#include <boost/asio/write.hpp>

namespace kumquatbank {

using std::chrono::milliseconds;

namespace {

    constexpr std::size_t chunkBytes = 16 * 1024;
    /// A blocked direction looks this often whether it is open again.
    constexpr milliseconds blockedPoll { 10 };
    /// A peer whose silent connection was closed at the other end finds out after this time, as a database does that
    /// drops unreachable clients.
    constexpr milliseconds silentLinger { 3000 };

} // namespace

struct FaultLink::Connection {
    Connection(asio::ip::tcp::socket accepted, asio::io_context& io)
        : client(std::move(accepted))
        , target(io)
    {
    }

    void close()
    {
        boost::system::error_code ec; // The other direction may have closed them already.
        client.close(ec);
        target.close(ec);
    }

    asio::ip::tcp::socket client;
    asio::ip::tcp::socket target;
    bool isSilent = false;
};

FaultLink::FaultLink(asio::io_context& io, const HostAddress& listen, HostAddress target)
    : m_io(io)
    , m_target(std::move(target))
    , m_listener(io, listen, [this](asio::ip::tcp::socket socket) { asio::co_spawn(m_io, serve(std::move(socket)), asio::detached); })
{
}

void FaultLink::setBlocked(Direction direction, bool isBlocked)
{
    (direction == Direction::ToTarget ? m_isBlockedToTarget : m_isBlockedFromTarget) = isBlocked;
}

void FaultLink::silence()
{
    for (const auto& known : m_connections) {
        if (const auto connection = known.lock())
            connection->isSilent = true;
    }
}

void FaultLink::reset()
{
    for (const auto& known : m_connections) {
        const auto connection = known.lock();
        if (!connection)
            continue;
        boost::system::error_code ec; // A connection that is closed already needs no reset.
        connection->client.set_option(asio::socket_base::linger(true, 0), ec);
        connection->target.set_option(asio::socket_base::linger(true, 0), ec);
        connection->close();
    }
}

bool FaultLink::isBlocked(Direction direction) const
{
    return direction == Direction::ToTarget ? m_isBlockedToTarget : m_isBlockedFromTarget;
}

Task<void> FaultLink::serve(asio::ip::tcp::socket socket)
{
    const auto connection = std::make_shared<Connection>(std::move(socket), m_io);
    const auto [ec] = co_await connection->target.async_connect(toEndpoint(m_target), asTuple);
    if (ec)
        co_return;
    const asio::ip::tcp::no_delay noDelay(true);
    boost::system::error_code optionError; // Forwarding works without the option, only slower.
    connection->client.set_option(noDelay, optionError);
    connection->target.set_option(noDelay, optionError);
    std::erase_if(m_connections, [](const auto& known) { return known.expired(); });
    m_connections.push_back(connection);
    asio::co_spawn(m_io, forward(connection, Direction::ToTarget), asio::detached);
    asio::co_spawn(m_io, forward(connection, Direction::FromTarget), asio::detached);
}

Task<void> FaultLink::forward(std::shared_ptr<Connection> connection, Direction direction)
{
    auto& from = direction == Direction::ToTarget ? connection->client : connection->target;
    auto& to = direction == Direction::ToTarget ? connection->target : connection->client;
    std::array<char, chunkBytes> buf;
    while (true) {
        const auto [readError, n] = co_await from.async_read_some(asio::buffer(buf), asTuple);
        while (isBlocked(direction) && !connection->isSilent && to.is_open())
            co_await sleepFor(m_io, blockedPoll);
        if (connection->isSilent && !readError)
            continue;
        if (connection->isSilent)
            co_await sleepFor(m_io, silentLinger);
        if (readError)
            break;
        if (m_delay.count() > 0)
            co_await sleepFor(m_io, m_delay);
        const auto [writeError, written] = co_await asio::async_write(to, asio::buffer(buf.data(), n), asTuple);
        if (writeError)
            break;
    }
    connection->close();
}

} // namespace kumquatbank
