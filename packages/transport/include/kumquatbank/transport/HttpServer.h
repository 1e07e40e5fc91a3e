#pragma once

#include "kumquatbank/core/core.h"
#include "kumquatbank/transport/HttpMessage.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace kumquatbank {

/// Limits of an HttpServer.
struct HttpServerOptions {
    unsigned minThreads = 256; ///< Started at once.
    unsigned maxThreads = 256; ///< Requests answered at the same time.
    std::size_t maxQueued = 1024; ///< Requests that wait for a thread; further ones get 503 with verdict not_run.
    Milliseconds keepAlive { 600'000 }; ///< Idle connections are closed after this time.
};

/// HTTP/1.1 server over nng's: a thread per request in progress, idle connections in nng's poller.
/// Bodies over 2 MiB get 413, chunked ones 411, other invalid requests 400. A head that nng cannot parse, or over
/// its buffer of 8192 bytes, closes the connection without an answer. A connection that has sent no complete head
/// yet is not subject to the keep-alive limit; after a first request without a Host header, which nng refuses, its
/// body is taken for the next request.
class HttpServer {
public:
    /// Called on a server thread, concurrently; must not throw.
    using Handler = std::function<HttpResponse(const HttpRequest&)>;

    HttpServer(HostAddress address, HttpServerOptions options, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Listens and serves on background threads; NotRun/Unavailable when the address cannot be used.
    Result<void> start();

    /// Announces the close of its connection with each further answer, so that callers open a new one, elsewhere if the
    /// load balancer leads them there. A caller that isn't told may send a request while its connection is being closed,
    /// and cannot know whether it has run.
    void announceClose();

    /// Waits for requests in progress, whose answers announce the close, then closes every connection. Idempotent.
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace kumquatbank
