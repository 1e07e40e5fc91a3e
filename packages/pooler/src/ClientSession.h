#pragma once

#include "StatementRunner.h"
#include "kumquatbank/engine/LineChannel.h"

namespace kumquatbank {

/// Counts the sessions and signals when they have to end.
struct SessionTracker {
    int open = 0;
    std::uint64_t opened = 0;
    bool isDraining = false; ///< If set, sessions end after their next answer outside a transaction.
};

/// One client connection, from its first line until it is closed.
class ClientSession : public std::enable_shared_from_this<ClientSession> {
public:
    ClientSession(asio::io_context& io, asio::ip::tcp::socket socket, ServiceRegistry& registry, PoolerMetrics& metrics, SessionTracker& tracker);
    ~ClientSession();

    ClientSession(const ClientSession&) = delete;
    ClientSession& operator=(const ClientSession&) = delete;

    Task<void> run();
    /// Closes the session if it is waiting for a line of its client outside a transaction.
    void closeIfIdle();

private:
    Task<bool> startSession();
    Task<bool> answerQuery(const ClientMessage& message);
    Task<bool> readMessage(std::string_view& line);
    Task<bool> send(const std::string& text);
    Task<void> closeGracefully();
    void logAnswer(const ClientMessage& message, const StatementAnswer& answer, BootTime since) const;

    LineChannel m_channel;
    ServiceRegistry& m_registry;
    PoolerMetrics& m_metrics;
    SessionTracker& m_tracker;
    StatementRunner m_runner;
    std::uint64_t m_number;
    std::string m_database;
    bool m_isIdle = false; ///< Waiting for the client's next line.
};

} // namespace kumquatbank
