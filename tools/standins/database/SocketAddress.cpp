#include "SocketAddress.h"

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>

namespace kumquatbank::standin {

namespace {

    template <typename Lookup>
    std::optional<HostAddress> lookUp(int fd, Lookup lookup)
    {
        sockaddr_storage storage {};
        socklen_t size = sizeof(storage);
        if (lookup(fd, reinterpret_cast<sockaddr*>(&storage), &size) != 0)
            return std::nullopt;
        std::array<char, INET6_ADDRSTRLEN> buf {};
        if (storage.ss_family == AF_INET6) {
            const auto* v6 = reinterpret_cast<const sockaddr_in6*>(&storage);
            inet_ntop(AF_INET6, &v6->sin6_addr, buf.data(), buf.size());
            return HostAddress { buf.data(), ntohs(v6->sin6_port) };
        }
        const auto* v4 = reinterpret_cast<const sockaddr_in*>(&storage);
        inet_ntop(AF_INET, &v4->sin_addr, buf.data(), buf.size());
        return HostAddress { buf.data(), ntohs(v4->sin_port) };
    }

} // namespace

SocketAddress::SocketAddress(const HostAddress& address)
{
    auto* v6 = reinterpret_cast<sockaddr_in6*>(&m_storage);
    if (inet_pton(AF_INET6, address.ip.c_str(), &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(address.port);
        m_size = sizeof(sockaddr_in6);
        return;
    }
    m_storage = {};
    auto* v4 = reinterpret_cast<sockaddr_in*>(&m_storage);
    inet_pton(AF_INET, address.ip.c_str(), &v4->sin_addr);
    v4->sin_family = AF_INET;
    v4->sin_port = htons(address.port);
    m_size = sizeof(sockaddr_in);
}

std::optional<HostAddress> SocketAddress::localOf(int fd)
{
    return lookUp(fd, getsockname);
}

std::optional<HostAddress> SocketAddress::remoteOf(int fd)
{
    return lookUp(fd, getpeername);
}

} // namespace kumquatbank::standin
