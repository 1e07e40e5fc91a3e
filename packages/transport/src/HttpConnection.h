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

    /// Called in the same way when an answer was written; the connection can be read from again unless isDone().
    using WriteHandler = std::function<void(HttpConnection&)>;

    /// Takes ownership of @p connection and @p request.
    HttpConnection(
        nng_http_conn* connection, nng_http_req* request, ReadHandler onRead, WriteHandler onWritten);
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

    /// True after the last answer of the connection, or one that could not be written.
    bool isDone() const { return m_isDone; }

    /// Makes isDone() true, so that no further request is served.
    void setDone() { m_isDone = true; }

    /// Reads the body of the current request, has @p handler answer it and starts to write the answer; answers
    /// invalid requests itself. The body has to arrive, and the answer to be taken, within @p transferTimeout each.
    /// @return false when the connection has to be closed; otherwise the caller must not use it afterwards.
    bool serve(const NngAio& aio, Milliseconds transferTimeout,
        const std::function<HttpResponse(const HttpRequest&)>& handler);

    /// JSON answer with verdict not_run.
    static HttpResponse makeError(int status, const Failure& failure);

private:
    bool isLastRequest() const;
    bool reject(int status, const std::string& message, bool close);
    bool respond(HttpResponse response, bool close);
    bool read(const NngAio& aio, char* data, std::size_t size);
    bool skip(const NngAio& aio, std::size_t size);

    nng_http_conn* m_connection;
    nng_http_req* m_request;
    nng_aio* m_readAio = nullptr;
    nng_aio* m_writeAio = nullptr;
    nng_http_res* m_response = nullptr;
    std::string m_responseBody; ///< Referred to by m_response.
    bool m_isDone = false;
    ReadHandler m_onRead;
    WriteHandler m_onWritten;
    std::atomic<TimePoint> m_readStartedAt = TimePoint::max();
};

} // namespace kumquatbank
