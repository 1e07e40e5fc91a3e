#pragma once

#include "kumquatbank/engine/Async.h"
#include "kumquatbank/engine/TcpListener.h"

#include <functional>
#include <map>
#include <string>

namespace kumquatbank {

struct HttpRequest {
    std::string method;
    std::string target;
    std::string body;
    std::map<std::string, std::string> headers; ///< Header names in lower case.
};

struct HttpResponse {
    /// Status that closes the connection without a response.
    static constexpr int closeConnection = 0;

    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::map<std::string, std::string> headers {};
};

/// Bounds on what the clients of a listener can take up. The head of a request is limited to 8 KiB.
struct HttpLimits {
    std::size_t connections = 4096; ///< Beyond it, the connection that has waited longest for a request is closed.
    std::uint64_t bodyBytes = 1 << 20; ///< Of a request.
    std::function<void(std::string_view reason)> onRefused {}; ///< Called for each client that is refused or closed.
};

/// HTTP/1.1 server on one address. Each connection is served by its own coroutine.
class HttpListener {
public:
    using Handler = std::function<Task<HttpResponse>(HttpRequest)>;

    /// Throws boost::system::system_error if the address cannot be bound.
    HttpListener(asio::io_context& io, const HostAddress& address, Handler handler, HttpLimits limits = {});

private:
    struct State;

    static Task<void> serve(asio::ip::tcp::socket socket, std::shared_ptr<State> state);

    std::shared_ptr<State> m_state;
    TcpListener m_listener;
};

} // namespace kumquatbank
