#pragma once

#include "Statistics.h"
#include "kumquatbank/transport/transport.h"

#include <map>
#include <random>

namespace kumquatbank::load {

/// One try as the caller sees it.
struct CallResult {
    TryResult measured;
    std::optional<CallerAnswer> answer; ///< Set when the verdict is Answered.
    std::optional<Milliseconds> retryAfter;
    std::string broken; ///< What is wrong with the response; empty when it could be read and carries the id.
};

/// One caller's connections to the proxies. Each call goes to a random proxy, a repeated one to another
/// proxy than the call before. Not thread-safe.
class ProxyClient {
public:
    ProxyClient(std::vector<HostAddress> proxies, std::mt19937_64& random);

    CallResult call(const CallerRequest& request, bool isRepeated);

private:
    std::size_t pickProxy(bool isRepeated);

    const std::vector<HostAddress> m_proxies;
    std::mt19937_64& m_random;
    std::map<std::size_t, HttpClient> m_clients;
    std::size_t m_last = 0;
};

/// Reads the response to the request with @p requestId.
CallResult readResponse(const HttpResponse& response, const std::string& requestId);

} // namespace kumquatbank::load
