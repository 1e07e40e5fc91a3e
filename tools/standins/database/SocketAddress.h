#pragma once

#include "kumquatbank/core/core.h"

#include <optional>
#include <sys/socket.h>

namespace kumquatbank::standin {

/// A HostAddress in the form that the socket calls need.
class SocketAddress {
public:
    explicit SocketAddress(const HostAddress& address);

    /// Address that @p fd is bound to, or connected to; empty on error.
    static std::optional<HostAddress> localOf(int fd);
    static std::optional<HostAddress> remoteOf(int fd);

    int family() const { return m_storage.ss_family; }
    const sockaddr* data() const { return reinterpret_cast<const sockaddr*>(&m_storage); }
    socklen_t size() const { return m_size; }

private:
    sockaddr_storage m_storage {};
    socklen_t m_size = 0;
};

} // namespace kumquatbank::standin
