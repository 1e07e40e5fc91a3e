#pragma once

#include "kumquatbank/transport/transport.h"

#include <mutex>
#include <vector>

namespace kumquatbank {

/// Kept-alive connections to one server, each used by one call at a time. Thread-safe.
class HttpClientPool {
public:
    explicit HttpClientPool(HostAddress server);

    /// Sends over an idle connection or a new one. After a failure all idle connections are dropped, since the
    /// server has probably restarted.
    Result<HttpResponse> send(const HttpRequest& request, Milliseconds timeout);

private:
    struct IdleClient {
        HttpClient client;
        TimePoint since;
    };

    HttpClient take();

    HostAddress m_server;
    std::mutex m_mutex;
    std::vector<IdleClient> m_idle; ///< The longest idle first.
};

} // namespace kumquatbank
