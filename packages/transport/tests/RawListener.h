#pragma once

#include "FreeAddress.h"
#include "kumquatbank/core/core.h"

#include <arpa/inet.h>
#include <cstdint>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace kumquatbank {

/// Loopback TCP listener whose connections the test reads and writes byte by byte.
class RawListener {
public:
    RawListener()
        : m_fd(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        ::bind(m_fd, reinterpret_cast<sockaddr*>(&address), length);
        ::getsockname(m_fd, reinterpret_cast<sockaddr*>(&address), &length);
        ::listen(m_fd, 8);
        m_port = ntohs(address.sin_port);
    }
    ~RawListener() { ::close(m_fd); }
    RawListener(const RawListener&) = delete;
    RawListener& operator=(const RawListener&) = delete;

    HostAddress address() const { return { "127.0.0.1", m_port }; }

    /// Connection that arrives within @p wait, else -1.
    int accept(Milliseconds wait) const
    {
        pollfd entry { m_fd, POLLIN, 0 };
        return ::poll(&entry, 1, static_cast<int>(wait.count())) == 1 ? ::accept(m_fd, nullptr, nullptr) : -1;
    }

private:
    int m_fd;
    std::uint16_t m_port = 0;
};

/// Reads until @p end arrives, the peer closes or 2 s pass.
inline std::string readUntil(int fd, const std::string& end)
{
    std::string text;
    while (text.find(end) == std::string::npos) {
        pollfd entry { fd, POLLIN, 0 };
        char buf[4096];
        if (::poll(&entry, 1, 2000) != 1)
            break;
        const auto n = ::recv(fd, buf, sizeof(buf), 0);
        if (n <= 0)
            break;
        text.append(buf, static_cast<std::size_t>(n));
    }
    return text;
}

inline void writeText(int fd, const std::string& text) { ::send(fd, text.data(), text.size(), MSG_NOSIGNAL); }

/// Connects to @p address as a client without any protocol.
inline int connectRaw(const HostAddress& address)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_port = htons(address.port);
    ::inet_pton(AF_INET, address.ip.c_str(), &target.sin_addr);
    ::connect(fd, reinterpret_cast<sockaddr*>(&target), sizeof(target));
    return fd;
}

} // namespace kumquatbank
