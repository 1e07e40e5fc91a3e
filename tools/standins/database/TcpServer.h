#pragma once

#include "LineSocket.h"

#include <atomic>
#include <functional>
#include <list>
#include <memory>
#include <thread>

namespace kumquatbank::standin {

/// Accepts TCP connections and runs one thread for each of them.
class TcpServer {
public:
    /// Serves one connection until its end; called on the connection's thread, must not throw.
    using Handler = std::function<void(const std::shared_ptr<LineSocket>&)>;

    explicit TcpServer(Handler handler);
    ~TcpServer();
    TcpServer(const TcpServer&) = delete;
    TcpServer& operator=(const TcpServer&) = delete;

    /// Listens; port 0 takes any free one. NotRun/Unavailable when the address cannot be used.
    /// @return the address in use.
    Result<HostAddress> start(const HostAddress& address);

    /// Closes the listener and every connection, then waits for the threads. Idempotent.
    void stop();

private:
    struct Worker {
        std::shared_ptr<LineSocket> socket;
        std::atomic<bool> isDone { false };
        std::thread thread;
    };

    void acceptConnections();
    void joinFinished();

    const Handler m_handler;
    int m_listener = -1;
    std::atomic<bool> m_isStopping { false };
    std::list<Worker> m_workers; ///< Used by the accepting thread, and by stop() after its end.
    std::thread m_acceptor;
};

} // namespace kumquatbank::standin
