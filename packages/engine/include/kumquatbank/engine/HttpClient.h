#pragma once

#include "kumquatbank/engine/Async.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace kumquatbank {

struct HttpCall {
    std::string method = "GET";
    std::string target;
    std::map<std::string, std::string> headers;
    std::string body; ///< JSON, or empty.
};

/// The answer to a call, or how it failed.
struct HttpResult {
    enum class Outcome {
        Completed,
        NotSent, ///< No connection could be made, so the call was not executed.
        NoResponse, ///< The call was sent and may have been executed.
    };

    Outcome outcome = Outcome::NotSent;
    int status = 0;
    std::string body;

    bool isSuccess() const { return outcome == Outcome::Completed && status >= 200 && status < 300; }
    /// Word for logs: the status, or how the call failed.
    std::string describe() const;
};

/// HTTP/1.1 client of one server. Idle connections are kept and reused; after a failure all of them are closed,
/// because a connection without an answer stays silent.
class HttpClient {
public:
    HttpClient(asio::io_context& io, HostAddress server);
    ~HttpClient();

    /// Makes one call; never repeats it.
    Task<HttpResult> call(HttpCall call, std::chrono::milliseconds timeout);

    const HostAddress& server() const { return m_server; }

private:
    struct Connection;

    asio::io_context& m_io;
    HostAddress m_server;
    std::vector<std::shared_ptr<Connection>> m_idle;
};

} // namespace kumquatbank
