#pragma once

#include "kumquatbank/engine/Async.h"
#include "kumquatbank/engine/TcpListener.h"

#include <memory>
#include <vector>

namespace kumquatbank {

/// Forwards TCP connections from one address to another and injects network faults on the way. Bytes that a blocked
/// direction holds up are delivered once it opens again, as after a partition.
class FaultLink {
public:
    enum class Direction {
        ToTarget,
        FromTarget,
    };

    FaultLink(asio::io_context& io, const HostAddress& listen, HostAddress target);

    /// Every chunk waits this long before it is forwarded; 0 ends the fault.
    void setDelay(std::chrono::milliseconds delay) { m_delay = delay; }
    void setBlocked(Direction direction, bool isBlocked);
    /// The open connections lose everything from now on, without a reset; new ones work.
    void silence();
    /// Ends the open connections with a reset.
    void reset();

    const HostAddress& target() const { return m_target; }

private:
    struct Connection;

    Task<void> serve(asio::ip::tcp::socket socket);
    Task<void> forward(std::shared_ptr<Connection> connection, Direction direction);
    bool isBlocked(Direction direction) const;

    asio::io_context& m_io;
    HostAddress m_target;
    std::chrono::milliseconds m_delay { 0 };
    bool m_isBlockedToTarget = false;
    bool m_isBlockedFromTarget = false;
    std::vector<std::weak_ptr<Connection>> m_connections;
    TcpListener m_listener;
};

} // namespace kumquatbank
