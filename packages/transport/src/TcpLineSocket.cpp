#include "TcpLineSocket.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace kumquatbank {

namespace {

    constexpr std::size_t readChunkBytes = 16 * 1024;

    /// Waits for @p events; Closed only when poll itself fails, since the next call reports socket errors.
    SocketStatus waitFor(int fd, short events, const Deadline& deadline)
    {
        while (true) {
            pollfd entry { fd, events, 0 };
            // Rounded up, so that the last millisecond is slept through instead of polled in a busy loop.
            const auto left = std::chrono::ceil<Milliseconds>(deadline.at() - Clock::now());
            constexpr Milliseconds::rep longestPollMs = 3'600'000;
            const auto timeoutMs = std::clamp(left.count(), Milliseconds::rep(0), longestPollMs);
            const int n = ::poll(&entry, 1, static_cast<int>(timeoutMs));
            if (n > 0)
                return SocketStatus::Done;
            if (n < 0 && errno != EINTR)
                return SocketStatus::Closed;
            if (deadline.hasPassed())
                return SocketStatus::Timeout;
        }
    }

    socklen_t fillAddress(const HostAddress& address, sockaddr_storage& storage)
    {
        std::memset(&storage, 0, sizeof(storage));
        auto* v4 = reinterpret_cast<sockaddr_in*>(&storage);
        if (::inet_pton(AF_INET, address.ip.c_str(), &v4->sin_addr) == 1) {
            v4->sin_family = AF_INET;
            v4->sin_port = htons(address.port);
            return sizeof(sockaddr_in);
        }
        auto* v6 = reinterpret_cast<sockaddr_in6*>(&storage);
        if (::inet_pton(AF_INET6, address.ip.c_str(), &v6->sin6_addr) != 1)
            return 0;
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(address.port);
        return sizeof(sockaddr_in6);
    }

    tl::unexpected<Failure> unreachable(const HostAddress& address, int error)
    {
        return notRun(FailureCode::Unreachable,
            "no connection to " + address.toString() + ": " + std::generic_category().message(error));
    }

} // namespace

Result<TcpLineSocket> TcpLineSocket::connect(const HostAddress& address, const Deadline& deadline)
{
    sockaddr_storage storage;
    const auto length = fillAddress(address, storage);
    if (length == 0)
        return unreachable(address, EINVAL);
    const int fd = ::socket(storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return unreachable(address, errno);
    TcpLineSocket socket(fd);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&storage), length) == 0)
        return socket;
    if (errno != EINPROGRESS)
        return unreachable(address, errno);
    if (waitFor(fd, POLLOUT, deadline) == SocketStatus::Timeout)
        return notRun(FailureCode::Timeout, "connecting to " + address.toString() + " took too long");
    int error = 0;
    socklen_t errorLength = sizeof(error);
    if (::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &errorLength) != 0)
        error = errno;
    if (error != 0)
        return unreachable(address, error);
    return socket;
}

TcpLineSocket::TcpLineSocket(int fd)
    : m_fd(fd)
{
}

TcpLineSocket::TcpLineSocket(TcpLineSocket&& other) noexcept
    : m_fd(std::exchange(other.m_fd, -1))
    , m_received(std::move(other.m_received))
{
}

TcpLineSocket& TcpLineSocket::operator=(TcpLineSocket&& other) noexcept
{
    std::swap(m_fd, other.m_fd);
    std::swap(m_received, other.m_received);
    return *this;
}

TcpLineSocket::~TcpLineSocket()
{
    if (m_fd >= 0)
        ::close(m_fd);
}

bool TcpLineSocket::isQuiet() const
{
    if (!m_received.empty())
        return false;
    char byte = 0;
    const auto n = ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

SocketStatus TcpLineSocket::sendAll(std::string_view data, const Deadline& deadline, std::size_t& sentBytes)
{
    sentBytes = 0;
    while (sentBytes < data.size()) {
        const auto n = ::send(m_fd, data.data() + sentBytes, data.size() - sentBytes, MSG_NOSIGNAL);
        if (n >= 0) {
            sentBytes += static_cast<std::size_t>(n);
            continue;
        }
        if (errno == EINTR)
            continue;
        if (errno != EAGAIN && errno != EWOULDBLOCK)
            return SocketStatus::Closed;
        const auto status = waitFor(m_fd, POLLOUT, deadline);
        if (status != SocketStatus::Done)
            return status;
    }
    return SocketStatus::Done;
}

SocketStatus TcpLineSocket::readLine(std::string& line, const Deadline& deadline)
{
    std::size_t searched = 0;
    while (true) {
        const auto newline = m_received.find('\n', searched);
        if (newline != std::string::npos) {
            line.assign(m_received, 0, newline);
            m_received.erase(0, newline + 1);
            return SocketStatus::Done;
        }
        searched = m_received.size();
        if (searched > maxLineBytes)
            return SocketStatus::TooLong;
        std::array<char, readChunkBytes> buf;
        const auto n = ::recv(m_fd, buf.data(), buf.size(), 0);
        if (n > 0) {
            m_received.append(buf.data(), static_cast<std::size_t>(n));
            continue;
        }
        if (n == 0)
            return SocketStatus::Closed;
        if (errno == EINTR)
            continue;
        if (errno != EAGAIN && errno != EWOULDBLOCK)
            return SocketStatus::Closed;
        const auto status = waitFor(m_fd, POLLIN, deadline);
        if (status != SocketStatus::Done)
            return status;
    }
}

} // namespace kumquatbank
