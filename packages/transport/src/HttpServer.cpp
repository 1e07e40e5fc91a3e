#include "kumquatbank/core/CxxtoolsCompat.h"

#include "kumquatbank/transport/HttpServer.h"

#include "HttpService.h"
#include "ListenBacklog.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/server.h>
#include <cxxtools/regex.h>
#include <optional>
#include <thread>

namespace kumquatbank {

class HttpServer::Impl {
public:
    Impl(HostAddress address, HttpServerOptions options, Handler handler)
        : m_address(std::move(address))
        , m_options(options)
        , m_service(std::move(handler))
    {
    }

    ~Impl() { stop(); }

    Result<void> start();
    void stop();

private:
    HostAddress m_address;
    HttpServerOptions m_options;
    HttpService m_service;
    cxxtools::EventLoop m_loop;
    std::optional<cxxtools::http::Server> m_server;
    std::thread m_thread;
};

Result<void> HttpServer::Impl::start()
{
    try {
        m_server.emplace(m_loop);
        m_server->minThreads(m_options.minThreads);
        m_server->maxThreads(m_options.maxThreads);
        m_server->keepAliveTimeout(cxxtools::Milliseconds(static_cast<double>(m_options.keepAlive.count())));
        m_server->addService(cxxtools::Regex(".*"), m_service);
        m_server->listen(m_address.ip, m_address.port);
        raiseListenBacklog(m_address);
    } catch (const std::exception& ex) {
        m_server.reset();
        return notRun(FailureCode::Unavailable, "cannot listen on " + m_address.toString() + ": " + ex.what());
    }
    m_thread = std::thread([this] { m_loop.run(); });
    return {};
}

void HttpServer::Impl::stop()
{
    if (!m_thread.joinable())
        return;
    m_loop.exit();
    m_thread.join();
    m_server.reset();
}

HttpServer::HttpServer(HostAddress address, HttpServerOptions options, Handler handler)
    : m_impl(std::make_unique<Impl>(std::move(address), options, std::move(handler)))
{
}

HttpServer::~HttpServer() = default;

Result<void> HttpServer::start() { return m_impl->start(); }

void HttpServer::stop() { m_impl->stop(); }

} // namespace kumquatbank
