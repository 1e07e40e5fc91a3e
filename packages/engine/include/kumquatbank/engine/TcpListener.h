#pragma once

#include "kumquatbank/engine/Async.h"
#include "kumquatbank/engine/EventLog.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace kumquatbank {

/// Accepts TCP connections on one address and passes each socket to a callback. After close() and after its destruction
/// the callback is not called any more, also for connections whose accept has already completed.
class TcpListener {
public:
    using AcceptHandler = std::function<void(asio::ip::tcp::socket)>;

    /// Throws boost::system::system_error if the address cannot be bound.
    /// @param unreadBytes  that the kernel keeps at most for an accepted connection until they are read; empty for its default.
    TcpListener(asio::io_context& io, const HostAddress& address, AcceptHandler onAccept, std::optional<std::size_t> unreadBytes = std::nullopt);
    ~TcpListener() { close(); }

    TcpListener(const TcpListener&) = delete;
    TcpListener& operator=(const TcpListener&) = delete;

    void close();

private:
    struct State;

    static Task<void> acceptLoop(std::shared_ptr<State> state);

    /// Shared with the accept loop, which ends one iteration of the event loop after a close at the earliest.
    std::shared_ptr<State> m_state;
};

} // namespace kumquatbank
