#pragma once

#include "kumquatbank/core/HostAddress.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace kumquatbank {

/// Address on loopback that nothing listens on. Its port is below those that the kernel gives to outgoing connections,
/// which could take it before the test listens there; tests that run at the same time start at different ports.
inline HostAddress freeAddress()
{
    constexpr int firstPort = 10'000;
    constexpr int portCount = 10'000;
    constexpr int portsPerProcess = 100;
    static int next = static_cast<int>(getpid()) * portsPerProcess;
    for (int n = 0; n < portCount; ++n) {
        const auto port = static_cast<std::uint16_t>(firstPort + next++ % portCount);
        const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const bool isFree = ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
        ::close(fd);
        if (isFree)
            return { "127.0.0.1", port };
    }
    throw std::runtime_error("no free port");
}

} // namespace kumquatbank
