#pragma once

#include "kumquatbank/engine/Async.h"
#include "kumquatbank/engine/LineListener.h"

#include <functional>
#include <string>

namespace kumquatbank {

struct HttpRequest {
    std::string method;
    std::string target;
    std::string body;
};

struct HttpAnswer {
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
};

/// HTTP/1.1 server on one address, one coroutine a connection.
class HttpListener {
public:
    using Handler = std::function<HttpAnswer(const HttpRequest&)>;

    /// Throws boost::system::system_error if the address cannot be bound.
    HttpListener(asio::io_context& io, const HostAddress& address, Handler handler);

private:
    static Task<void> serve(asio::ip::tcp::socket socket, Handler handler);

    LineListener m_listener;
};

} // namespace kumquatbank
