#include "TcpServer.h"

#include "SocketAddress.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace kumquatbank::standin {

namespace {

    constexpr int acceptBacklog = 512;
    constexpr int stopCheckMs = 50;

} // namespace

TcpServer::TcpServer(Handler handler)
    : m_handler(std::move(handler))
{
}

TcpServer::~TcpServer()
{
    stop();
}

Result<HostAddress> TcpServer::start(const HostAddress& address)
{
    const SocketAddress local(address);
    m_listener = socket(local.family(), SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(m_listener, local.data(), local.size()) != 0 || listen(m_listener, acceptBacklog) != 0)
        return notRun(FailureCode::Unavailable, "cannot listen on " + address.toString());
    const auto bound = SocketAddress::localOf(m_listener);
    m_acceptor = std::thread([this] { acceptConnections(); });
    return bound.value_or(address);
}

void TcpServer::acceptConnections()
{
    while (!m_isStopping) {
        pollfd entry { m_listener, POLLIN, 0 };
        if (poll(&entry, 1, stopCheckMs) <= 0)
            continue;
        const int fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
            continue;
        joinFinished();
        auto& worker = m_workers.emplace_back();
        worker.socket = std::make_shared<LineSocket>(fd);
        worker.thread = std::thread([this, &worker] {
            m_handler(worker.socket);
            worker.socket->shutdown();
            worker.isDone = true;
        });
    }
}

void TcpServer::joinFinished()
{
    m_workers.remove_if([](Worker& worker) {
        if (!worker.isDone)
            return false;
        worker.thread.join();
        return true;
    });
}

void TcpServer::stop()
{
    m_isStopping = true;
    if (m_acceptor.joinable())
        m_acceptor.join();
    if (m_listener >= 0) {
        close(m_listener);
        m_listener = -1;
    }
    for (auto& worker : m_workers) {
        worker.socket->shutdown();
        worker.thread.join();
    }
    m_workers.clear();
}

} // namespace kumquatbank::standin
