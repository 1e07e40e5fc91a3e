#include "kumquatbank/transport/PeerServer.h"

#include "PeerEncoding.h"
#include "SocketCloser.h"

#include <nng/protocol/reqrep0/rep.h>
#include <optional>
#include <thread>
#include <vector>

namespace kumquatbank {

namespace {

    /// nng closes a connection without flushing it; this leaves time for the last responses to be written.
    constexpr Milliseconds flushTime { 50 };

} // namespace

class PeerServer::Impl {
public:
    Impl(HostAddress address, unsigned threads, Handler handler)
        : m_address(std::move(address))
        , m_threadCount(threads)
        , m_handler(std::move(handler))
    {
    }

    ~Impl() { stop(); }

    Result<void> start();
    void stop();

private:
    /// One thread with its context; receiving and sending use different operations so that stop() can cancel
    /// the one without the other.
    struct Worker {
        explicit Worker(nng_socket socket)
            : context(socket)
        {
        }
        NngContext context;
        NngAio receiving;
        NngAio sending;
        std::thread thread;
    };

    void serve(Worker& worker);
    nlohmann::json answer(nng_msg* message);

    HostAddress m_address;
    unsigned m_threadCount;
    Handler m_handler;
    std::optional<nng_socket> m_socket;
    std::vector<std::unique_ptr<Worker>> m_workers;
};

Result<void> PeerServer::Impl::start()
{
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    checkNng(nng_rep0_open(&socket));
    m_socket = socket;
    checkNng(nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, maxPeerMessageBytes));
    const auto url = "tcp://" + m_address.toString();
    if (const int error = nng_listen(socket, url.c_str(), nullptr, 0); error != 0) {
        stop();
        return notRun(FailureCode::Unavailable,
            "cannot listen on " + m_address.toString() + ": " + nng_strerror(error));
    }
    for (unsigned n = 0; n < m_threadCount; ++n) {
        auto& worker = *m_workers.emplace_back(std::make_unique<Worker>(socket));
        worker.thread = std::thread([this, &worker] { serve(worker); });
    }
    return {};
}

void PeerServer::Impl::stop()
{
    if (!m_socket)
        return;
    for (auto& worker : m_workers)
        nng_aio_stop(worker->receiving.get());
    for (auto& worker : m_workers)
        worker->thread.join();
    if (!m_workers.empty())
        std::this_thread::sleep_for(flushTime);
    m_workers.clear();
    closeSocket(*m_socket);
    m_socket.reset();
}

void PeerServer::Impl::serve(Worker& worker)
{
    while (true) {
        nng_ctx_recv(worker.context.get(), worker.receiving.get());
        if (worker.receiving.wait() != 0)
            return; // stop() cancelled it.
        const NngMessage request(nng_aio_get_msg(worker.receiving.get()));
        auto response = encodePeerMessage(answer(request.get()));
        nng_aio_set_msg(worker.sending.get(), response.get());
        nng_ctx_send(worker.context.get(), worker.sending.get());
        // On failure the requester is gone and the message is still owned here.
        if (worker.sending.wait() == 0)
            static_cast<void>(response.release());
    }
}

nlohmann::json PeerServer::Impl::answer(nng_msg* message)
{
    PeerMessage request;
    try {
        request = decodePeerMessage(message).get<PeerMessage>();
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
