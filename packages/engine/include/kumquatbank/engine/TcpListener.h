#pragma once

#include "kumquatbank/engine/Async.h"
#include "kumquatbank/engine/EventLog.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <functional>

namespace kumquatbank {

/// Accepts TCP connections on one address and passes each socket to a callback.
class TcpListener {
public:
    using AcceptHandler = std::function<void(asio::ip::tcp::socket)>;

    /// Throws boost::system::system_error if the address cannot be bound.
    TcpListener(asio::io_context& io, const HostAddress& address, AcceptHandler onAccept);

    void close();

private:
    Task<void> acceptLoop();

    asio::io_context& m_io;
    asio::ip::tcp::acceptor m_acceptor;
    AcceptHandler m_onAccept;
};

} // namespace kumquatbank
