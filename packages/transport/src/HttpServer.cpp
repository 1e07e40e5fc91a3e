#include "kumquatbank/transport/HttpServer.h"

#include "HttpConnection.h"
#include "HttpWorkers.h"
#include "ListenBacklog.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

namespace kumquatbank {

namespace {

    /// Idle connections are compared with the keep-alive limit at this interval.
    constexpr Milliseconds sweepInterval { 1000 };

    /// stop() repeats the abort of idle reads: a thread may start one just after the last abort.
    constexpr Milliseconds stopInterval { 10 };

    /// A slower body or answer ends the connection, since it holds a thread.
    constexpr Milliseconds transferTimeout { 20'000 };

    /// The same for refused requests, which are all answered by one thread.
    constexpr Milliseconds refusalTimeout { 100 };

    /// nng refuses some first requests itself, for example those without a Host header.
    constexpr auto badRequestPage
        = R"({"verdict":"not_run","error":{"code":"bad_request","message":"malformed request","cause":"bad_request"}})";

    struct HandlerDeleter {
        void operator()(nng_http_handler* handler) const { nng_http_handler_free(handler); }
    };

} // namespace

/// nng's HTTP server accepts connections and reads the first request of each; the connection is then taken over,
/// because that server can neither end idle connections nor finish requests in progress when it stops.
class HttpServer::Impl {
public:
    Impl(HostAddress address, HttpServerOptions options, Handler handler)
        : m_address(std::move(address))
        , m_options(options)
        , m_handler(std::move(handler))
        , m_workers(options.minThreads, options.maxThreads, options.maxQueued,
              [this](HttpConnection& connection, const NngAio& aio) { serve(connection, aio); })
    {
    }

    ~Impl() { stop(); }

    Result<void> start();
    void announceClose() { m_isClosing = true; }
    void stop();

private:
    int listen();
    void adopt(nng_http_conn* connection, nng_http_req* request);
    void dispatch(HttpConnection& connection);
    void serve(HttpConnection& connection, const NngAio& aio);
    void close(HttpConnection& connection);
    void abortIdle(TimePoint before, int error);
    void endConnection(HttpConnection& connection, const NngAio& aio);
    void maintain();

    HostAddress m_address;
    HttpServerOptions m_options;
    Handler m_handler;
    HttpWorkers m_workers;
    nng_http_server* m_server = nullptr;
    std::atomic<bool> m_isClosing = false; ///< Each answer is the last one of its connection.

    std::mutex m_connectionsMutex;
    std::condition_variable m_connectionClosed;
    std::unordered_map<HttpConnection*, std::unique_ptr<HttpConnection>> m_connections;

    std::mutex m_endedMutex;
    std::condition_variable m_hasEnded;
    std::vector<HttpConnection*> m_ended; ///< Closed, malformed or over the queue's bound.
    bool m_isMaintenanceStopping = false;
    std::thread m_maintenance;
};

int HttpServer::Impl::listen()
{
    nng_url* rawUrl = nullptr;
    if (const int error = nng_url_parse(&rawUrl, ("http://" + m_address.toString()).c_str()); error != 0)
        return error;
    const std::unique_ptr<nng_url, decltype(&nng_url_free)> url(rawUrl, &nng_url_free);
    if (const int error = nng_http_server_hold(&m_server, rawUrl); error != 0)
        return error;
    nng_http_handler* rawHandler = nullptr;
    const auto onRequest = [](nng_aio* aio) {
        auto* request = static_cast<nng_http_req*>(nng_aio_get_input(aio, 0));
        auto* handler = static_cast<nng_http_handler*>(nng_aio_get_input(aio, 1));
        auto* connection = static_cast<nng_http_conn*>(nng_aio_get_input(aio, 2));
        auto* self = static_cast<Impl*>(nng_http_handler_get_data(handler));
        if (const int error = nng_http_hijack(connection); error != 0)
            return nng_aio_finish(aio, error);
        self->adopt(connection, request);
        nng_aio_finish(aio, 0);
    };
    if (const int error = nng_http_handler_alloc(&rawHandler, "/", onRequest); error != 0)
        return error;
    std::unique_ptr<nng_http_handler, HandlerDeleter> handler(rawHandler);
    checkNng(nng_http_handler_set_method(rawHandler, nullptr));
    checkNng(nng_http_handler_set_tree(rawHandler));
    checkNng(nng_http_handler_collect_body(rawHandler, false, 0));
    checkNng(nng_http_handler_set_data(rawHandler, this, nullptr));
    // Servers with the same address are one object of nng, so an address in use in this process shows here.
    if (const int error = nng_http_server_add_handler(m_server, rawHandler); error != 0)
        return error;
    handler.release(); // Owned by the server now.
    checkNng(nng_http_server_set_error_page(m_server, 400, badRequestPage));
    return nng_http_server_start(m_server);
}

Result<void> HttpServer::Impl::start()
{
    m_workers.start();
    m_maintenance = std::thread([this] { maintain(); });
    if (const int error = listen(); error != 0) {
        if (m_server)
            nng_http_server_release(m_server);
        m_server = nullptr;
        return notRun(
            FailureCode::Unavailable, "cannot listen on " + m_address.toString() + ": " + nng_strerror(error));
    }
    raiseListenBacklog(m_address);
    return {};
}

void HttpServer::Impl::stop()
{
    if (!m_maintenance.joinable())
        return;
    announceClose();
    if (m_server) {
        nng_http_server_stop(m_server);
        nng_http_server_release(m_server);
        m_server = nullptr;
    }
    while (true) {
        abortIdle(TimePoint::max(), NNG_ECANCELED);
        std::unique_lock lock(m_connectionsMutex);
        if (m_connectionClosed.wait_for(lock, stopInterval, [this] { return m_connections.empty(); }))
            break;
    }
    m_workers.stop();
    {
        const std::lock_guard lock(m_endedMutex);
        m_isMaintenanceStopping = true;
    }
    m_hasEnded.notify_all();
    m_maintenance.join();
}

void HttpServer::Impl::adopt(nng_http_conn* connection, nng_http_req* request)
{
    auto owned = std::make_unique<HttpConnection>(
        connection, request, [this](HttpConnection& read) { dispatch(read); });
    auto& adopted = *owned;
    {
        const std::lock_guard lock(m_connectionsMutex);
        m_connections.emplace(&adopted, std::move(owned));
    }
    dispatch(adopted);
}

void HttpServer::Impl::dispatch(HttpConnection& connection)
{
    if (connection.readError() == 0 && m_workers.submit(connection))
        return;
    {
        const std::lock_guard lock(m_endedMutex);
        m_ended.push_back(&connection);
    }
    m_hasEnded.notify_one();
}

void HttpServer::Impl::serve(HttpConnection& connection, const NngAio& aio)
{
    if (connection.serve(aio, transferTimeout, m_isClosing, m_handler))
        return connection.startRead();
    close(connection);
}

void HttpServer::Impl::close(HttpConnection& connection)
{
    std::unique_ptr<HttpConnection> closed;
    const std::lock_guard lock(m_connectionsMutex);
    const auto it = m_connections.find(&connection);
    closed = std::move(it->second);
    m_connections.erase(it);
    m_connectionClosed.notify_all();
}

void HttpServer::Impl::abortIdle(TimePoint before, int error)
{
    const std::lock_guard lock(m_connectionsMutex);
    for (const auto& [connection, owned] : m_connections) {
        if (connection->isIdleSince(before))
            connection->abortRead(error);
    }
}

void HttpServer::Impl::endConnection(HttpConnection& connection, const NngAio& aio)
{
    if (connection.readError() == 0) { // nng has closed it otherwise, also after a head that it cannot parse.
        const auto failure = notRun(FailureCode::Unavailable, "too many requests wait for a thread").value();
        const auto refuse = [&](const HttpRequest&) { return HttpConnection::makeError(503, failure); };
        if (connection.serve(aio, refusalTimeout, m_isClosing, refuse))
            return connection.startRead();
    }
    close(connection);
}

void HttpServer::Impl::maintain()
{
    const NngAio aio;
    auto sweptAt = Clock::now();
    while (true) {
        std::vector<HttpConnection*> ended;
        {
            std::unique_lock lock(m_endedMutex);
            m_hasEnded.wait_for(
                lock, sweepInterval, [this] { return m_isMaintenanceStopping || !m_ended.empty(); });
            if (m_isMaintenanceStopping && m_ended.empty())
                return;
            ended.swap(m_ended);
        }
        for (auto* connection : ended)
            endConnection(*connection, aio);
        if (const auto now = Clock::now(); now - sweptAt >= sweepInterval) {
            sweptAt = now;
            abortIdle(now - m_options.keepAlive, NNG_ETIMEDOUT);
        }
    }
}

HttpServer::HttpServer(HostAddress address, HttpServerOptions options, Handler handler)
    : m_impl(std::make_unique<Impl>(std::move(address), options, std::move(handler)))
{
}

HttpServer::~HttpServer() = default;

Result<void> HttpServer::start() { return m_impl->start(); }

void HttpServer::announceClose() { m_impl->announceClose(); }

void HttpServer::stop() { m_impl->stop(); }

} // namespace kumquatbank
