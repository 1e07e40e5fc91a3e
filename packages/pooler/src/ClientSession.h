#pragma once

#include "SessionTracker.h"
#include "StatementRunner.h"
#include "kumquatbank/engine/LineChannel.h"

namespace kumquatbank {

/// One client connection, from its first line until it is closed.
class ClientSession : public std::enable_shared_from_this<ClientSession>, public MemoryHolder {
public:
    ClientSession(asio::io_context& io, asio::ip::tcp::socket socket, ServiceRegistry& registry, PoolerMetrics& metrics, SessionTracker& tracker);
    ~ClientSession() override;

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
    bool isOpen() const { return m_channel.isOpen(); }
    /// Since when the client owes its first message or the rest of one; empty if it owes none.
    std::optional<BootTime> incompleteSince() const;
    /// Refuses the client with @p reason and closes the connection.
    void refuse(std::string_view reason);

    Phase memoryPhase() const override;
    void closeForMemory() override;
    void closeForDescriptors();

private:
    Task<bool> startSession();
    Task<bool> answerQuery(const ClientMessage& message);
    Task<bool> refuseLongMessage(std::string_view line);
    /// Memory to count while a message is served; 0 for a short one of a session with little state.
    std::size_t workBytes(std::size_t messageBytes) const;
    /// Counts what is needed to serve a long message, and waits for room. Returns false if there is none; the message has
    /// then been refused, or its transaction aborted.
    Task<bool> reserveWork(MemoryHold& work, std::size_t bytes);
    /// Formats an answer and takes its text. Its error is left out if it has been sent ahead, as the announcement of the
    /// close.
    std::string formatAnswer(StatementAnswer& answer);
    SessionStep nextStep() const;
    Task<bool> readMessage(std::string_view& line);
    Task<bool> send(const std::string& text);
    Task<void> closeGracefully();
    void logAnswer(const ClientMessage& message, const StatementAnswer& answer, BootTime since) const;

    LineChannel m_channel;
    DisconnectWatch m_watch;
    asio::io_context& m_io;
    ServiceRegistry& m_registry;
    PoolerMetrics& m_metrics;
    SessionTracker& m_tracker;
    StatementRunner m_runner;
    MemoryHold m_ownHold; ///< Of what every session needs. It has no holder, as closing a session for it frees too little.
    std::uint64_t m_number;
    std::string m_database;
    std::optional<KeyDigest> m_key; ///< Of the key in the START message; empty if there was none.
    const BootTime m_openedAt;
    bool m_isStarted = false; ///< The session has been opened by the client's first message.
    bool m_isIdle = false; ///< Waiting for the client's next line.
    const ClientMessage* m_request = nullptr; ///< The request that is being answered.
    bool m_isSending = false; ///< Its answer is being sent.
    bool m_hasRefused = false; ///< A request was refused since the process was told to stop.
    bool m_hasRefusedAfterAnnouncement = false;
    BootTime m_waitsSince {}; ///< When the session began to wait for the client's next line.
    std::optional<BootTime> m_closeAnnouncedAt; ///< Set once the next request has been refused ahead of time.
};

} // namespace kumquatbank
