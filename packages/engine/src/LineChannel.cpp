#include "kumquatbank/engine/LineChannel.h"

#include "OperationTimer.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <cstring>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

namespace kumquatbank {

namespace {

    /// Holds nearly every statement. An idle session keeps a buffer of this size; what 2,048 bytes needed more pays for its
    /// place in the memory budget.
    constexpr std::size_t initialInputBytes = 1536;
    /// A channel that has stopped reading looks for room in the memory budget after the first time, then after twice as long
    /// up to the second one. At 20 ms throughout, some thousand stopped channels take more processor time than a host has.
    constexpr std::chrono::milliseconds memoryRetryInterval { 20 };
    constexpr std::chrono::milliseconds maxMemoryRetryInterval { 320 };
    constexpr int keepAliveProbes = 2;
    constexpr std::string_view lineTerminator = "\r\n";

} // namespace

LineChannel::LineChannel(asio::ip::tcp::socket socket, std::size_t maxLineBytes)
    : m_socket(std::move(socket))
    , m_maxLineBytes(maxLineBytes)
{
}

void LineChannel::enableDeadPeerDetection(asio::ip::tcp::socket& socket, std::chrono::milliseconds peerTimeout)
{
    boost::system::error_code ec; // Ignored: a socket without these options is still usable.
    socket.set_option(asio::ip::tcp::no_delay(true), ec);
    const int fd = socket.native_handle();
    const unsigned unacknowledgedMs = static_cast<unsigned>(peerTimeout.count());
    const int on = 1;
    const int idleSeconds = std::max<int>(1, static_cast<int>(peerTimeout.count() / 1000 / 2));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledgedMs, sizeof unacknowledgedMs);
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idleSeconds, sizeof idleSeconds);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &on, sizeof on);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &keepAliveProbes, sizeof keepAliveProbes);
}

Task<std::optional<LineChannel>> LineChannel::connect(asio::io_context& io, HostAddress address, std::size_t maxLineBytes,
    std::chrono::milliseconds timeout, std::chrono::milliseconds peerTimeout)
{
    asio::ip::tcp::socket socket(io);
    OperationTimer timer(socket, BootClock::now() + timeout);
    const auto [ec] = co_await socket.async_connect(toEndpoint(address), asTuple);
    if (ec || timer.hasExpired())
        co_return std::nullopt;
    enableDeadPeerDetection(socket, peerTimeout);
    timer.stop();
    co_return LineChannel(std::move(socket), maxLineBytes);
}

bool LineChannel::extractLine(std::string_view& line)
{
    const auto received = std::string_view(m_readBuffer).substr(0, m_end);
    const auto lineEnd = received.find(lineTerminator, m_scanEnd);
    if (lineEnd == std::string_view::npos) {
        // The first byte of the terminator may be the last one received.
        m_scanEnd = std::max(m_begin, m_end - std::min(m_end, lineTerminator.size() - 1));
        return false;
    }
    line = received.substr(m_begin, lineEnd - m_begin);
    m_begin = m_scanEnd = lineEnd + lineTerminator.size();
    m_lineEndsBy = BootTime::max();
    return true;
}

void LineChannel::releaseSpareInput()
{
    const auto unread = m_end - m_begin;
    if (m_readBuffer.size() <= initialInputBytes || unread >= initialInputBytes)
        return;
    std::string smaller(initialInputBytes, '\0');
    std::memcpy(smaller.data(), m_readBuffer.data() + m_begin, unread);
    m_readBuffer.swap(smaller);
    m_scanEnd -= m_begin;
    m_begin = 0;
    m_end = unread;
    m_inputHold.clear();
}

bool LineChannel::reserveReadSpace()
{
    if (m_begin > 0) {
        std::memmove(m_readBuffer.data(), m_readBuffer.data() + m_begin, m_end - m_begin);
        m_end -= m_begin;
        m_scanEnd -= m_begin;
        m_begin = 0;
    }
    if (m_readBuffer.size() > m_end)
        return true;
    const auto size = std::max(initialInputBytes, std::min(m_readBuffer.size() * 2, m_maxLineBytes + initialInputBytes));
    const auto use = m_inputHold.holder() == nullptr ? MemoryUse::Answer : MemoryUse::Input;
    if (size > initialInputBytes && !m_inputHold.resize(use, size))
        return false;
    m_readBuffer.resize(size);
    return true;
}

Task<ChannelStatus> LineChannel::readLine(std::string_view& line, BootTime deadline)
{
    releaseSpareInput();
    auto retryInterval = memoryRetryInterval;
    while (!extractLine(line)) {
        if (m_end - m_begin > m_maxLineBytes)
            co_return ChannelStatus::TooLong;
        if (!m_socket.is_open())
            co_return ChannelStatus::Closed;
        if (hasBufferedInput() && m_lineEndsBy == BootTime::max())
            m_lineEndsBy = BootClock::now() + messageTimeout;
        const auto until = std::min(deadline, m_lineEndsBy);
        const auto expired = until == deadline ? ChannelStatus::TimedOut : ChannelStatus::Incomplete;
        if (!reserveReadSpace()) {
            if (BootClock::now() >= until)
                co_return expired;
            co_await sleepFor(static_cast<asio::io_context&>(m_socket.get_executor().context()), retryInterval);
            // Answers of databases, which have no holder, are few and must not wait longer than necessary.
            if (m_inputHold.holder() != nullptr)
                retryInterval = std::min(retryInterval * 2, maxMemoryRetryInterval);
            continue;
        }
        retryInterval = memoryRetryInterval;
        OperationTimer timer(m_socket, until);
        const auto [ec, n] = co_await m_socket.async_read_some(asio::buffer(m_readBuffer.data() + m_end, m_readBuffer.size() - m_end), asTuple);
        if (n == 0 && timer.hasExpired())
            co_return expired;
        if (ec) {
            close();
            co_return ChannelStatus::Closed;
        }
        // Closed after the input had been taken from the socket: its sender can get no answer.
        if (!m_socket.is_open())
            co_return ChannelStatus::Closed;
        m_end += n;
    }
    co_return line.size() > m_maxLineBytes ? ChannelStatus::TooLong : ChannelStatus::Ok;
}

bool LineChannel::tryReadLine(std::string_view& line)
{
    while (!extractLine(line)) {
        if (!m_socket.is_open() || m_end - m_begin > m_maxLineBytes || !reserveReadSpace())
            return false;
        boost::system::error_code ec;
        m_socket.non_blocking(true, ec);
        const auto n = ec ? 0 : m_socket.read_some(asio::buffer(m_readBuffer.data() + m_end, m_readBuffer.size() - m_end), ec);
        if (ec || n == 0)
            return false;
        m_end += n;
    }
    return line.size() <= m_maxLineBytes;
}

bool LineChannel::tryWrite(std::string_view data)
{
    boost::system::error_code ec;
    if (m_socket.is_open())
        m_socket.non_blocking(true, ec);
    const bool isWritten = m_socket.is_open() && !ec && m_socket.write_some(asio::buffer(data), ec) == data.size();
    if (!isWritten)
        close();
    return isWritten;
}

Task<ChannelStatus> LineChannel::write(std::string_view data, BootTime deadline)
{
    if (!m_socket.is_open())
        co_return ChannelStatus::Closed;
    // Try a non-blocking write first: nearly every write fits into the socket's send buffer, which avoids a timer and
    // an iteration of the event loop.
    boost::system::error_code ec;
    m_socket.non_blocking(true, ec);
    std::size_t sent = ec ? 0 : m_socket.write_some(asio::buffer(data), ec);
    if (ec && ec != asio::error::would_block) {
        close();
        co_return ChannelStatus::Closed;
    }
    if (sent == data.size())
        co_return ChannelStatus::Ok;
    // The remote end does not read as fast as it is sent to, so the text has to be kept.
    MemoryHold unsent(m_inputHold.holder());
    if (unsent.holder() != nullptr && !unsent.resize(MemoryUse::Answer, data.size())) {
        close();
        co_return ChannelStatus::Closed;
    }
    OperationTimer timer(m_socket, deadline);
    const auto [writeError, n] = co_await asio::async_write(m_socket, asio::buffer(data.substr(sent)), asTuple);
    if (!writeError)
        co_return ChannelStatus::Ok;
    const bool timedOut = timer.hasExpired();
    close();
    co_return timedOut ? ChannelStatus::TimedOut : ChannelStatus::Closed;
}

bool LineChannel::isClosedByPeer()
{
    if (!m_socket.is_open())
        return true;
    char probe = 0;
    const auto n = ::recv(m_socket.native_handle(), &probe, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

bool LineChannel::isQuiet()
{
    if (!m_socket.is_open() || hasBufferedInput())
        return false;
    char probe = 0;
    const auto n = ::recv(m_socket.native_handle(), &probe, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
}

PeerState LineChannel::peerState()
{
    if (!m_socket.is_open())
        return PeerState::Reset;
    pollfd request { m_socket.native_handle(), POLLIN | POLLRDHUP, 0 };
    if (::poll(&request, 1, 0) <= 0)
        return PeerState::Open;
    if ((request.revents & (POLLERR | POLLHUP | POLLNVAL)) != 0)
        return PeerState::Reset;
    return (request.revents & POLLRDHUP) != 0 ? PeerState::Ended : PeerState::HasInput;
}

void LineChannel::notifyOfInput(std::function<void(bool)> handler)
{
    m_socket.async_wait(asio::ip::tcp::socket::wait_read, [handler = std::move(handler)](const boost::system::error_code& ec) { handler(!ec); });
}

bool LineChannel::hasInput() const
{
    boost::system::error_code ec; // A closed socket has no input.
    return hasBufferedInput() || (m_socket.is_open() && m_socket.available(ec) > 0);
}

HostAddress LineChannel::localAddress() const
{
    boost::system::error_code ec;
    const auto endpoint = m_socket.local_endpoint(ec);
    return ec ? HostAddress() : HostAddress { endpoint.address().to_string(), endpoint.port() };
}

void LineChannel::shutdownSend()
{
    boost::system::error_code ec; // Ignored: the remote end may have closed the connection already.
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
}

void LineChannel::close()
{
    boost::system::error_code ec; // Ignored: nothing can be done about a failed close.
    m_socket.close(ec);
}

} // namespace kumquatbank
