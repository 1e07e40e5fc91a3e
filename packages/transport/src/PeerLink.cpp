#include "PeerLink.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

namespace kumquatbank {

namespace {

    /// A connection attempt that takes longer is abandoned for a new one: after a partition heals, the
    /// kernel's own retransmission of the first packet may come as late as a minute.
    constexpr Milliseconds maxConnectTime { 1000 };

} // namespace

std::shared_ptr<PeerLink> PeerLink::open(asio::io_context& io, const HostAddress& peer)
{
    const auto link = std::make_shared<PeerLink>(io, peer);
    const auto start = [link]() -> asio::awaitable<void> { co_await link->connect(); };
    asio::co_spawn(io, start, asio::detached);
    return link;
}

PeerLink::PeerLink(asio::io_context& io, const HostAddress& peer)
    : m_io(io)
    , m_peer(peer)
    , m_socket(io)
    , m_connectLimit(io)
    , m_wake(io)
{
}

bool PeerLink::isUsable() const
{
    const std::lock_guard lock(m_mutex);
    return m_lossReason.empty();
}

bool PeerLink::isIdleFor(Milliseconds time) const
{
    const std::lock_guard lock(m_mutex);
    return m_calls.empty() && m_lastUsed <= Clock::now() - time;
}

void PeerLink::close()
{
    asio::post(m_io, [self = shared_from_this()] { self->lose("closed"); });
}

asio::awaitable<void> PeerLink::connect()
{
    const auto self = shared_from_this();
    boost::system::error_code invalid;
    const auto address = asio::ip::make_address(m_peer.ip, invalid);
    if (invalid) {
        lose(invalid.message());
        co_return;
    }
    m_connectLimit.expires_after(maxConnectTime);
    m_connectLimit.async_wait([self](boost::system::error_code cancelled) {
        if (!cancelled)
            self->lose("connecting took too long");
    });
    const auto [ec] = co_await m_socket.async_connect({ address, m_peer.port }, asTuple);
    m_connectLimit.cancel();
    if (ec) {
        lose(ec.message());
        co_return;
    }
    boost::system::error_code ignored; // Without the option the link is only slower.
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    const auto read = [self]() -> asio::awaitable<void> { co_await self->readResponses(); };
    asio::co_spawn(m_io, read, asio::detached);
    co_await writeRequests();
}

asio::awaitable<void> PeerLink::writeRequests()
{
    while (isUsable()) {
        const auto request = takeRequest();
        if (!request) {
            m_wake.expires_at(asio::steady_timer::time_point::max());
            co_await m_wake.async_wait(asTuple);
            continue;
        }
        if (const auto ec = co_await writePeerFrame(m_socket, *request); ec)
            lose(ec.message());
    }
}

asio::awaitable<void> PeerLink::readResponses()
{
    while (isUsable()) {
        PeerFrame response;
        if (const auto ec = co_await readPeerFrame(m_socket, response); ec)
            lose(ec.message());
        else
            deliver(std::move(response));
    }
}

std::optional<PeerFrame> PeerLink::takeRequest()
{
    const std::lock_guard lock(m_mutex);
    while (!m_unsent.empty()) {
        const auto id = m_unsent.front();
        m_unsent.pop_front();
        // A caller that gave up has taken its call away.
        if (const auto it = m_calls.find(id); it != m_calls.end()) {
            it->second.isSent = true;
            return PeerFrame { id, std::move(it->second.request) };
        }
    }
    return std::nullopt;
}

void PeerLink::deliver(PeerFrame response)
{
    const std::lock_guard lock(m_mutex);
    m_lastResponse = Clock::now();
    if (const auto it = m_calls.find(response.call); it != m_calls.end())
        it->second.response = std::move(response.body);
    m_changed.notify_all();
}

void PeerLink::lose(const std::string& reason)
{
    boost::system::error_code ignored; // The connection has no further use.
    m_socket.close(ignored);
    m_connectLimit.cancel();
    m_wake.cancel();
    const std::lock_guard lock(m_mutex);
    if (m_lossReason.empty())
        m_lossReason = reason;
    m_changed.notify_all();
}

Result<PeerBytes> PeerLink::call(PeerBytes request, const Deadline& deadline)
{
    const auto startedAt = Clock::now();
    std::unique_lock lock(m_mutex);
    const auto id = ++m_lastCall;
    const auto& call = m_calls[id] = { std::move(request), {}, false };
    m_unsent.push_back(id);
    asio::post(m_io, [self = shared_from_this()] { self->m_wake.cancel(); });
    m_changed.wait_until(lock, deadline.at(), [&] { return call.response.has_value() || !m_lossReason.empty(); });
    auto ended = std::move(m_calls.extract(id).mapped());
    m_lastUsed = Clock::now();
    if (ended.response)
        return std::move(*ended.response);
    const auto peer = m_peer.toString();
    if (!ended.isSent)
        return notRun(FailureCode::Unreachable, "no connection to " + peer + ": " + (m_lossReason.empty() ? "took too long" : m_lossReason));
    if (!m_lossReason.empty())
        return mayHaveRun(FailureCode::ConnectionLost, "lost the connection to " + peer + ": " + m_lossReason);
    // Nothing arrived during the whole call: the connection may hang while a new one would work.
    if (m_lastResponse < startedAt) {
        m_lossReason = "no response";
        close();
    }
    return mayHaveRun(FailureCode::Timeout, peer + " did not answer in time");
}

} // namespace kumquatbank
