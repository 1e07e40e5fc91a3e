#include "HttpClientPool.h"

#include <algorithm>

namespace kumquatbank {

namespace {

    /// Shorter than the usual keep-alive limits of servers: a request over a connection that the server is
    /// closing is lost with the verdict "may have run".
    constexpr Milliseconds maxIdleTime { 30'000 };
    constexpr std::size_t maxIdleClients = 8;

} // namespace

HttpClientPool::HttpClientPool(HostAddress server)
    : m_server(std::move(server))
{
}

HttpClient HttpClientPool::take()
{
    const std::lock_guard lock(m_mutex);
    const auto oldest = Clock::now() - maxIdleTime;
    std::erase_if(m_idle, [&](const IdleClient& idle) { return idle.since < oldest; });
    if (m_idle.empty())
        return HttpClient(m_server);
    auto client = std::move(m_idle.back().client);
    m_idle.pop_back();
    return client;
}

Result<HttpResponse> HttpClientPool::send(const HttpRequest& request, Milliseconds timeout)
{
    auto client = take();
    auto response = client.send(request, timeout);
    const std::lock_guard lock(m_mutex);
    if (!response)
        m_idle.clear();
    else if (m_idle.size() < maxIdleClients)
        m_idle.push_back({ std::move(client), Clock::now() });
    return response;
}

} // namespace kumquatbank
