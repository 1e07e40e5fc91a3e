#pragma once

#include "NngHandles.h"
#include "kumquatbank/core/core.h"
#include "kumquatbank/transport/HttpMessage.h"

#include <atomic>
#include <functional>
#include <nng/supplemental/http/http.h>

namespace kumquatbank {

/// One connection of an HttpServer, taken over from nng's HTTP server with its first request. While it is idle,
/// nng's poller waits for the next request head; otherwise one thread at a time uses it.
class HttpConnection {
public:
    /// Largest accepted body, in bytes: a statement of 1 MB whose characters are escaped in JSON.
    static constexpr std::size_t maxBodyBytes = 2 * 1024 * 1024;

    /// Called on a thread of nng when a read started by startRead() has ended; must neither block nor destroy
    /// the connection.
    using ReadHandler = std::function<void(HttpConnection&)>;

    /// Takes ownership of both arguments.
    HttpConnection(nng_http_conn* connection, nng_http_req* request, ReadHandler handler);
    ~HttpConnection();
    HttpConnection(const HttpConnection&) = delete;
    HttpConnection& operator=(const HttpConnection&) = delete;

    /// Starts to wait for the next request head. The caller must not use the connection afterwards.
    void startRead();

    /// Ends a read in progress with @p error, an error number of nng; otherwise does nothing. Thread-safe.
    void abortRead(int error) { nng_aio_abort(m_readAio, error); }

    /// Result of the last read: 0 or an error number of nng.
    int readError() const { return nng_aio_result(m_readAio); }

    /// True when the read in progress started before @p time. Thread-safe.
    bool isIdleSince(TimePoint time) const { return m_readStartedAt.load() < time; }

    /// Reads the body of the current request, then has @p handler answer it; answers invalid requests itself.
    /// The body has to arrive, and the answer to be taken, within @p transferTimeout each. The answer announces the close
    /// of the connection if @p isClosing is set once it is known.
    /// @return false when the connection has to be closed.
    bool serve(const NngAio& aio, Milliseconds transferTimeout, const std::atomic<bool>& isClosing,
        const std::function<HttpResponse(const HttpRequest&)>& handler);

    /// Answers with @p response. @return false when the write failed or @p close is set.
    bool respond(const NngAio& aio, const HttpResponse& response, bool close);

    /// JSON answer with verdict not_run.
    static HttpResponse makeError(int status, const Failure& failure);

private:
    bool isLastRequest() const;
    bool reject(const NngAio& aio, int status, const std::string& message, bool close);
    bool read(const NngAio& aio, char* data, std::size_t size);
    bool skip(const NngAio& aio, std::size_t size);

    nng_http_conn* m_connection;
    nng_http_req* m_request;
    nng_aio* m_readAio = nullptr;
    ReadHandler m_handler;
    std::atomic<TimePoint> m_readStartedAt = TimePoint::max();
};

} // namespace kumquatbank
