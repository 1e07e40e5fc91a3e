#include "kumquatbank/engine/TcpListener.h"

namespace kumquatbank {

namespace {

    constexpr int acceptBacklog = 4096;
    /// Pause after a failed accept, for example when no file descriptors are left, so that the loop does not spin.
    constexpr std::chrono::milliseconds acceptRetryDelay { 20 };
    /// Interval of log lines about failed accepts.
    constexpr std::chrono::milliseconds failureLogInterval { 1000 };

} // namespace

struct TcpListener::State {
    asio::io_context& io;
    asio::ip::tcp::acceptor acceptor;
    AcceptHandler onAccept;
    std::int64_t failures = 0; ///< Since the last log line about them.
    BootTime failuresLoggedAt {};
};

TcpListener::TcpListener(asio::io_context& io, const HostAddress& address, AcceptHandler onAccept, std::optional<std::size_t> unreadBytes)
    : m_state(std::make_shared<State>(State { io, asio::ip::tcp::acceptor(io), std::move(onAccept), 0, {} }))
{
    const auto endpoint = toEndpoint(address);
    auto& acceptor = m_state->acceptor;
    acceptor.open(endpoint.protocol());
    acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    // Accepted sockets inherit the size. The kernel doubles the value, for its own bookkeeping.
    if (unreadBytes)
        acceptor.set_option(asio::socket_base::receive_buffer_size(static_cast<int>(*unreadBytes / 2)));
    acceptor.bind(endpoint);
    acceptor.listen(acceptBacklog);
    asio::co_spawn(io, acceptLoop(m_state), asio::detached);
}

void TcpListener::close()
{
    boost::system::error_code ec; // Ignored: nothing can be done about a failed close.
    m_state->acceptor.close(ec);
}

Task<void> TcpListener::acceptLoop(std::shared_ptr<State> state)
{
    while (state->acceptor.is_open()) {
        auto [ec, socket] = co_await state->acceptor.async_accept(asTuple);
        if (ec == asio::error::operation_aborted || !state->acceptor.is_open())
            co_return;
        if (ec) {
            ++state->failures;
            if (BootClock::now() - state->failuresLoggedAt >= failureLogInterval) {
                EventLog::warn("accept_failed", { { "error", ec.message() }, { "count", std::exchange(state->failures, 0) } });
                state->failuresLoggedAt = BootClock::now();
            }
            co_await sleepFor(state->io, acceptRetryDelay);
            continue;
        }
        try {
            state->onAccept(std::move(socket));
        } catch (const std::exception& e) {
            EventLog::error("accept_failed", { { "error", e.what() } });
        }
    }
}

} // namespace kumquatbank
