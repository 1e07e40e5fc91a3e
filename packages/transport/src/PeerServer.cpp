#include "kumquatbank/transport/PeerServer.h"

#include "PeerEncoding.h"
#include "PeerFrame.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <condition_variable>
#include <deque>
#include <future>
#include <mutex>
#include <set>
#include <thread>

namespace kumquatbank {

namespace {

    /// A stop waits this long for the last responses to be written to peers that read slowly.
    constexpr Milliseconds flushLimit { 1000 };

    /// Pause after a failed accept, which is repeated at once if descriptors are used up.
    constexpr Milliseconds acceptPause { 100 };

    /// Requests of one connection that are read before the first of them is answered, so that a peer that does not read
    /// its responses holds a bounded amount of memory.
    constexpr std::size_t maxPendingPerConnection = 64;

} // namespace

/// One thread reads and writes; the handler runs on the others.
class PeerServer::Impl {
public:
    Impl(HostAddress address, unsigned threads, Handler handler)
        : m_address(std::move(address))
        , m_handler(std::move(handler))
        , m_acceptor(m_io)
        , m_workers(threads)
    {
    }

    ~Impl() { stop(); }

    Result<void> start();
    void stop();

private:
    struct Connection {
        explicit Connection(asio::ip::tcp::socket accepted)
            : socket(std::move(accepted))
            , responded(socket.get_executor())
            , written(socket.get_executor())
        {
        }

        asio::ip::tcp::socket socket;
        asio::steady_timer responded; ///< Cancelled when there is a response to write, or nothing more to read.
        asio::steady_timer written; ///< Cancelled when a response was written.
        std::deque<PeerFrame> responses;
        std::size_t pending = 0; ///< Requests that were read and whose responses were not written.
        bool isReading = true;
    };
    using ConnectionPointer = std::shared_ptr<Connection>;

    boost::system::error_code listen();
    asio::awaitable<void> acceptAll();
    asio::awaitable<void> readRequests(ConnectionPointer connection);
    asio::awaitable<void> writeResponses(ConnectionPointer connection);
    static asio::awaitable<void> waitUntilCancelled(asio::steady_timer& timer);
    /// Counts a request as finished.
    void finish(Connection& connection);
    static void close(Connection& connection);
    void stopReading();
    nlohmann::json answer(const PeerBytes& bytes);

    const HostAddress m_address;
    Handler m_handler;
    asio::io_context m_io { 1 };
    asio::ip::tcp::acceptor m_acceptor;
    // Used by m_thread while it runs.
    std::set<ConnectionPointer> m_connections;
    bool m_isStopping = false;

    asio::thread_pool m_workers;
    std::thread m_thread;

    std::mutex m_mutex;
    std::condition_variable m_finished;
    std::size_t m_unfinished = 0; ///< Requests of all connections that were read and not finished.
};

boost::system::error_code PeerServer::Impl::listen()
{
    boost::system::error_code ec;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(m_address.ip, ec), m_address.port);
    if (!ec)
        m_acceptor.open(endpoint.protocol(), ec);
    if (!ec)
        m_acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    if (!ec)
        m_acceptor.bind(endpoint, ec);
    if (!ec)
        m_acceptor.listen(asio::socket_base::max_listen_connections, ec);
    return ec;
}

Result<void> PeerServer::Impl::start()
{
    if (const auto ec = listen(); ec) {
        boost::system::error_code ignored; // It serves nothing.
        m_acceptor.close(ignored);
        return notRun(FailureCode::Unavailable, "cannot listen on " + m_address.toString() + ": " + ec.message());
    }
    asio::co_spawn(m_io, acceptAll(), asio::detached);
    m_thread = std::thread([this] { m_io.run(); });
    return {};
}

void PeerServer::Impl::stop()
{
    if (!m_thread.joinable())
        return;
    std::promise<void> stopped;
    asio::post(m_io, [&] {
        stopReading();
        stopped.set_value();
    });
    stopped.get_future().wait();
    m_workers.join();
    {
        std::unique_lock lock(m_mutex);
        if (!m_finished.wait_for(lock, flushLimit, [this] { return m_unfinished == 0; }))
            LOG4CXX_WARN(partLogger("transport"), m_unfinished << " responses to peers were not read in time");
    }
    m_io.stop();
    m_thread.join();
    for (const auto& connection : m_connections)
        close(*connection);
}

void PeerServer::Impl::stopReading()
{
    m_isStopping = true;
    boost::system::error_code ignored; // A socket that fails here has ended already.
    m_acceptor.close(ignored);
    for (const auto& connection : m_connections) {
        connection->socket.shutdown(asio::socket_base::shutdown_receive, ignored);
    }
}

asio::awaitable<void> PeerServer::Impl::acceptAll()
{
    while (m_acceptor.is_open()) {
        auto [ec, socket] = co_await m_acceptor.async_accept(asTuple);
        if (ec) {
            asio::steady_timer pause(m_io, acceptPause);
            co_await pause.async_wait(asTuple);
            continue;
        }
        boost::system::error_code ignored; // Without the option the connection is only slower.
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        const auto connection = *m_connections.insert(std::make_shared<Connection>(std::move(socket))).first;
        asio::co_spawn(m_io, readRequests(connection), asio::detached);
        asio::co_spawn(m_io, writeResponses(connection), asio::detached);
    }
}

asio::awaitable<void> PeerServer::Impl::waitUntilCancelled(asio::steady_timer& timer)
{
    timer.expires_at(asio::steady_timer::time_point::max());
    co_await timer.async_wait(asTuple);
}

asio::awaitable<void> PeerServer::Impl::readRequests(ConnectionPointer connection)
{
    while (connection->socket.is_open()) {
        if (connection->pending >= maxPendingPerConnection) {
            co_await waitUntilCancelled(connection->written);
            continue;
        }
        PeerFrame request;
        const auto ec = co_await readPeerFrame(connection->socket, request);
        // Linux still delivers what arrived after the shutdown of the receiving direction.
        if (ec || m_isStopping)
            break;
        ++connection->pending;
        {
            const std::lock_guard lock(m_mutex);
            ++m_unfinished;
        }
        asio::post(m_workers, [this, connection, request = std::move(request)] {
            PeerFrame response { request.call, encodePeerMessage(answer(request.body)) };
            asio::post(m_io, [connection, response = std::move(response)]() mutable {
                connection->responses.push_back(std::move(response));
                connection->responded.cancel();
            });
        });
    }
    // The peer has closed or broke the protocol; responses that are still due are written if it reads on.
    connection->isReading = false;
    connection->responded.cancel();
}

asio::awaitable<void> PeerServer::Impl::writeResponses(ConnectionPointer connection)
{
    while (connection->isReading || connection->pending > 0) {
        if (connection->responses.empty()) {
            co_await waitUntilCancelled(connection->responded);
            continue;
        }
        const auto response = std::move(connection->responses.front());
        connection->responses.pop_front();
        const auto ec = co_await writePeerFrame(connection->socket, response);
        finish(*connection);
        if (ec)
            close(*connection);
    }
    close(*connection);
    m_connections.erase(connection);
}

void PeerServer::Impl::finish(Connection& connection)
{
    --connection.pending;
    connection.written.cancel();
    const std::lock_guard lock(m_mutex);
    --m_unfinished;
    m_finished.notify_all();
}

void PeerServer::Impl::close(Connection& connection)
{
    boost::system::error_code ignored; // It has no further use.
    connection.socket.close(ignored);
}

nlohmann::json PeerServer::Impl::answer(const PeerBytes& bytes)
{
    PeerMessage request;
    try {
        request = decodePeerMessage(bytes).get<PeerMessage>();
    } catch (const std::exception& ex) {
        const auto failure = notRun(FailureCode::BadRequest, std::string("malformed peer message: ") + ex.what());
        return { { "failure", failure.value() } };
    }
    return { { "body", m_handler(request) } };
}

PeerServer::PeerServer(HostAddress address, unsigned threads, Handler handler)
    : m_impl(std::make_unique<Impl>(std::move(address), threads, std::move(handler)))
{
}

PeerServer::~PeerServer() = default;

Result<void> PeerServer::start() { return m_impl->start(); }

void PeerServer::stop() { m_impl->stop(); }

} // namespace kumquatbank
