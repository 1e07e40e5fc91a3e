#pragma once

#include "SessionTracker.h"
#include "StatementRunner.h"
#include "kumquatbank/engine/LineChannel.h"

namespace kumquatbank {

/// One client connection, from its first line until it is closed.
class ClientSession : public std::enable_shared_from_this<ClientSession> {
public:
    ClientSession(asio::io_context& io, asio::ip::tcp::socket socket, ServiceRegistry& registry, PoolerMetrics& metrics, SessionTracker& tracker);
    ~ClientSession();

    ClientSession(const ClientSession&) = delete;
    ClientSession& operator=(const ClientSession&) = delete;

    Task<void> run();
    /// Takes the next step towards the end of the session if it waits for its client while the process stops: aborts a
    /// transaction whose statements could no longer be run, announces the close, or closes the connection.
    void advanceStop();
    /// Ends an idle transaction whose client's access was withdrawn, so that it holds no database connection; the next
    /// statement reports it.
    void abortIfWithdrawn();
    /// Answers a request that has no result yet by what is known of its outcome, and refuses those that have arrived behind
    /// it. The session must end after that.
    Task<void> answerUnfinished();
    void close() { m_channel.close(); }
    /// True while a request has no complete answer.
    bool hasUnfinishedRequest() const { return m_request != nullptr; }

private:
    Task<bool> startSession();
    Task<bool> answerQuery(const ClientMessage& message);
    /// Formats an answer. Its error is left out if it has been sent ahead, as the announcement of the close.
    std::string formatAnswer(const StatementAnswer& answer);
    SessionStep nextStep() const;
    Task<bool> readMessage(std::string_view& line);
    Task<bool> send(const std::string& text);
    Task<void> closeGracefully();
    void logAnswer(const ClientMessage& message, const StatementAnswer& answer, BootTime since) const;

    LineChannel m_channel;
    DisconnectWatch m_watch;
    ServiceRegistry& m_registry;
    PoolerMetrics& m_metrics;
    SessionTracker& m_tracker;
    StatementRunner m_runner;
    std::uint64_t m_number;
    std::string m_database;
    std::optional<KeyDigest> m_key; ///< Of the key in the START message; empty if there was none.
    bool m_isIdle = false; ///< Waiting for the client's next line.
    const ClientMessage* m_request = nullptr; ///< The request that is being answered.
    bool m_isSending = false; ///< Its answer is being sent.
    bool m_hasRefused = false; ///< A request was refused since the process was told to stop.
    bool m_hasRefusedAfterAnnouncement = false;
    BootTime m_waitsSince {}; ///< When the session began to wait for the client's next line.
    std::optional<BootTime> m_closeAnnouncedAt; ///< Set once the next request has been refused ahead of time.
};

} // namespace kumquatbank
