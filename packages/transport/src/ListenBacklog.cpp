#include "ListenBacklog.h"

#include <arpa/inet.h>
#include <charconv>
#include <filesystem>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>

namespace kumquatbank {

namespace {

    constexpr int backlog = 4096; // The kernel caps it at net.core.somaxconn.

    bool isListening(int fd)
    {
        int value = 0;
        socklen_t length = sizeof(value);
        return ::getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &value, &length) == 0 && value != 0;
    }

    std::uint16_t localPort(int fd)
    {
        sockaddr_storage storage {};
        socklen_t length = sizeof(storage);
        if (::getsockname(fd, reinterpret_cast<sockaddr*>(&storage), &length) != 0)
            return 0;
        if (storage.ss_family == AF_INET6)
            return ntohs(reinterpret_cast<const sockaddr_in6&>(storage).sin6_port);
        return ntohs(reinterpret_cast<const sockaddr_in&>(storage).sin_port);
    }

} // namespace

void raiseListenBacklog(const HostAddress& address)
{
    for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fd")) {
        const auto name = entry.path().filename().string();
        int fd = -1;
        std::from_chars(name.data(), name.data() + name.size(), fd);
        if (isListening(fd) && localPort(fd) == address.port)
            ::listen(fd, backlog);
    }
}

} // namespace kumquatbank
