#pragma once

#include "kumquatbank/engine/AnswerMemory.h"
#include "kumquatbank/engine/Async.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/fields.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace kumquatbank {

struct HttpCall {
    std::string method = "GET";
    std::string target;
    std::map<std::string, std::string> headers;
    std::string body; ///< JSON; empty for a request without a body.
    AnswerReader reader = AnswerReader::Other; ///< For whose memory the answer is counted.
};

/// The response to a call, or the reason why there is none.
struct HttpResult {
    enum class Outcome {
        Completed,
        NotSent, ///< No connection could be established, so the server did not execute the call.
        NoResponse, ///< The request may have been sent, and the server may have executed it.
    };

    Outcome outcome = Outcome::NotSent;
    int status = 0;
    boost::beast::http::fields headers;
    std::string body;
    MemoryHold memory; ///< Counted for the body.
    bool hasNoRoom = false; ///< There was a response, but no memory for its body.

    bool isSuccess() const { return outcome == Outcome::Completed && status >= 200 && status < 300; }
    /// Text for logs: the HTTP status code, or the kind of failure.
    std::string describe() const;
};

/// HTTP/1.1 client of one server. Idle connections are pooled and reused. After a failed exchange all idle connections
/// are closed, because a connection on which the server stopped responding does not recover.
class HttpClient {
public:
    HttpClient(asio::io_context& io, HostAddress server);
    ~HttpClient();

    /// Sends one request. Never retries it.
    Task<HttpResult> call(HttpCall call, std::chrono::milliseconds timeout);

    const HostAddress& server() const { return m_server; }

private:
    struct Connection;

    asio::io_context& m_io;
    HostAddress m_server;
    std::vector<std::shared_ptr<Connection>> m_idle;
};

} // namespace kumquatbank
