#include "kumquatbank/engine/TcpListener.h"

namespace kumquatbank {

namespace {

    constexpr int acceptBacklog = 4096;
    /// Pause after a failed accept, for example when no file descriptors are left, so that the loop does not spin.
    constexpr std::chrono::milliseconds acceptRetryDelay { 20 };

} // namespace

TcpListener::TcpListener(asio::io_context& io, const HostAddress& address, AcceptHandler onAccept)
    : m_io(io)
    , m_acceptor(io)
    , m_onAccept(std::move(onAccept))
{
    const auto endpoint = toEndpoint(address);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen(acceptBacklog);
    asio::co_spawn(io, acceptLoop(), asio::detached);
}

void TcpListener::close()
{
    boost::system::error_code ec; // Ignored: the listener is closed once, at the end of a drain.
    m_acceptor.close(ec);
}

Task<void> TcpListener::acceptLoop()
{
    while (m_acceptor.is_open()) {
        auto [ec, socket] = co_await m_acceptor.async_accept(asTuple);
        if (ec == asio::error::operation_aborted || !m_acceptor.is_open())
            co_return;
        if (ec) {
            EventLog::warn("accept_failed", { { "error", ec.message() } });
            co_await sleepFor(m_io, acceptRetryDelay);
            continue;
        }
        m_onAccept(std::move(socket));
    }
}

} // namespace kumquatbank
