#include "LineSocket.h"

#include "SocketAddress.h"

#include <array>
#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace kumquatbank::standin {

namespace {

    constexpr std::size_t readChunk = 64 * 1024;
    constexpr int waitForever = -1;

    bool waitFor(int fd, short events, int timeoutMs)
    {
        pollfd entry { fd, events, 0 };
        return poll(&entry, 1, timeoutMs) > 0;
    }

} // namespace

LineSocket::LineSocket(int fd)
    : m_fd(fd)
{
    // Requests and responses are single small lines; waiting for more data would only add delay.
    const int on = 1;
    setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

LineSocket::~LineSocket()
{
    close(m_fd);
}

std::unique_ptr<LineSocket> LineSocket::connect(const HostAddress& address, Milliseconds timeout)
{
    const SocketAddress target(address);
    const int fd = socket(target.family(), SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (fd < 0)
        return nullptr;
    auto connection = std::make_unique<LineSocket>(fd);
    if (::connect(fd, target.data(), target.size()) != 0) {
        int error = errno;
        if (error == EINPROGRESS && waitFor(fd, POLLOUT, static_cast<int>(timeout.count()))) {
            socklen_t size = sizeof(error);
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
        }
        if (error != 0)
            return nullptr;
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return connection;
}

std::optional<std::string> LineSocket::readLine(std::optional<Milliseconds> timeout)
{
    const auto deadline = Deadline::after(timeout.value_or(Milliseconds(0)));
    std::array<char, readChunk> chunk;
    for (;;) {
        const auto end = m_buffer.find('\n', m_searched);
        if (end != std::string::npos) {
            auto line = m_buffer.substr(0, end);
            m_buffer.erase(0, end + 1);
            m_searched = 0;
            return line;
        }
        m_searched = m_buffer.size();
        if (!waitFor(m_fd, POLLIN, timeout ? static_cast<int>(deadline.remaining().count()) : waitForever))
            return std::nullopt;
        const auto n = recv(m_fd, chunk.data(), chunk.size(), 0);
        if (n <= 0)
            return std::nullopt;
        m_buffer.append(chunk.data(), static_cast<std::size_t>(n));
    }
}

bool LineSocket::writeLine(const std::string& line)
{
    const auto text = line + '\n';
    std::size_t sent = 0;
    while (sent < text.size()) {
        const auto n = send(m_fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

void LineSocket::shutdown()
{
    ::shutdown(m_fd, SHUT_RDWR);
}

std::string LineSocket::remoteAddress() const
{
    const auto remote = SocketAddress::remoteOf(m_fd);
    return remote ? remote->toString() : std::string();
}

} // namespace kumquatbank::standin
