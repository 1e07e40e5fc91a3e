#include "PeerLink.h"

#include "PeerEncoding.h"

#include <nng/protocol/reqrep0/req.h>

namespace kumquatbank {

namespace {

    /// A connection attempt that takes longer is abandoned for a new one: after a partition heals, the
    /// kernel's own retransmission of the first packet may come as late as a minute.
    constexpr Milliseconds maxConnectTime { 1000 };

    /// A link is one connection; PeerClient opens a new link once it is lost. nng 1.5 reconnects at once in about
    /// half of the cases whatever this time is, so onPipeEvent() closes every further connection.
    constexpr nng_duration neverReconnect = 24 * 3'600'000;

    nng_duration remainingOf(const Deadline& deadline)
    {
        return static_cast<nng_duration>(deadline.remaining().count());
    }

} // namespace

PeerLink::PeerLink(const HostAddress& peer)
    : m_peer(peer.toString())
    , m_lastUsed(m_openedAt)
    , m_lastResponse(m_openedAt)
{
    checkNng(nng_req0_open(&m_socket));
    checkNng(nng_socket_set_size(m_socket, NNG_OPT_RECVMAXSZ, maxPeerMessageBytes));
    // Without a resend time nng drops a request whose connection is lost instead of sending it again.
    checkNng(nng_socket_set_ms(m_socket, NNG_OPT_REQ_RESENDTIME, NNG_DURATION_INFINITE));
    checkNng(nng_socket_set_ms(m_socket, NNG_OPT_RECONNMINT, neverReconnect));
    checkNng(nng_socket_set_ms(m_socket, NNG_OPT_RECONNMAXT, neverReconnect));
    checkNng(nng_pipe_notify(m_socket, NNG_PIPE_EV_ADD_PRE, onPipeEvent, this));
    checkNng(nng_pipe_notify(m_socket, NNG_PIPE_EV_REM_POST, onPipeEvent, this));
    std::promise<int> dialed;
    m_dialed = dialed.get_future().share();
    // nng reports a refused connection only to a blocking start; closing the socket ends it. nng_dial() is not
    // used: when it fails it closes a dialer that a concurrent nng_close() may already have freed.
    m_dialThread = std::thread([socket = m_socket, url = "tcp://" + m_peer, result = std::move(dialed)]() mutable {
        nng_dialer dialer = NNG_DIALER_INITIALIZER;
        const int error = nng_dialer_create(&dialer, socket, url.c_str());
        result.set_value(error != 0 ? error : nng_dialer_start(dialer, 0));
    });
}

PeerLink::~PeerLink()
{
    nng_pipe_notify(m_socket, NNG_PIPE_EV_ADD_PRE, nullptr, nullptr);
    nng_pipe_notify(m_socket, NNG_PIPE_EV_REM_POST, nullptr, nullptr);
    nng_close(m_socket);
    m_dialThread.join();
}

void PeerLink::onPipeEvent(nng_pipe pipe, nng_pipe_ev event, void* self)
{
    auto& link = *static_cast<PeerLink*>(self);
    if (event == NNG_PIPE_EV_REM_POST)
        link.m_isLost = true;
    else if (link.m_hasConnected.exchange(true))
        nng_pipe_close(pipe);
}

bool PeerLink::isUsable() const
{
    if (m_isLost)
        return false;
    if (m_dialed.wait_for(Milliseconds(0)) == std::future_status::ready)
        return m_dialed.get() == 0;
    return Clock::now() - m_openedAt < maxConnectTime;
}

Result<void> PeerLink::waitUntilConnected(const Deadline& deadline)
{
    if (m_dialed.wait_until(deadline.at()) != std::future_status::ready)
        return notRun(FailureCode::Unreachable, "connecting to " + m_peer + " took too long");
    if (const int error = m_dialed.get(); error != 0)
        return notRun(FailureCode::Unreachable, "no connection to " + m_peer + ": " + nng_strerror(error));
    return {};
}

Result<NngMessage> PeerLink::call(NngMessage request, const Deadline& deadline)
{
    const auto startedAt = Clock::now();
    m_lastUsed = startedAt;
    if (const auto connected = waitUntilConnected(deadline); !connected)
        return tl::unexpected<Failure>(connected.error());
    const NngContext context(m_socket);
    const NngAio aio;
    nng_aio_set_msg(aio.get(), request.get());
    nng_aio_set_timeout(aio.get(), remainingOf(deadline));
    nng_ctx_send(context.get(), aio.get());
    // The send completes when a connection takes the message; until then nothing can have reached the peer.
    if (const int error = aio.wait(); error != 0)
        return notRun(FailureCode::Unreachable, "no connection to " + m_peer + ": " + nng_strerror(error));
    static_cast<void>(request.release()); // Owned by nng since the send succeeded.
    nng_aio_set_timeout(aio.get(), remainingOf(deadline));
    nng_ctx_recv(context.get(), aio.get());
    const int error = aio.wait();
    m_lastUsed = Clock::now();
    if (error == 0) {
        m_lastResponse = Clock::now();
        return NngMessage(nng_aio_get_msg(aio.get()));
    }
    if (error != NNG_ETIMEDOUT)
        return mayHaveRun(FailureCode::ConnectionLost, "lost the connection to " + m_peer + ": " + nng_strerror(error));
    // Nothing arrived during the whole call: the connection may hang while a new one would work.
    if (m_lastResponse.load() < startedAt)
        m_isLost = true;
    return mayHaveRun(FailureCode::Timeout, m_peer + " did not answer in time");
}

} // namespace kumquatbank
