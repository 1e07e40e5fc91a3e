#pragma once

#include "kumquatbank/core/core.h"
#include "kumquatbank/transport/HttpMessage.h"

#include <memory>

namespace kumquatbank {

/// HTTP/1.1 client with one kept-alive connection. Not thread-safe: one per thread.
class HttpClient {
public:
    explicit HttpClient(HostAddress server);
    ~HttpClient();
    HttpClient(HttpClient&&) noexcept;
    HttpClient& operator=(HttpClient&&) noexcept;

    /// Sends one request and waits for the whole response. NotRun/Unreachable when no connection could be
    /// made, MayHaveRun/Timeout or ConnectionLost after that. Never resends; a failed connection is closed.
    Result<HttpResponse> send(const HttpRequest& request, Milliseconds timeout);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace kumquatbank
