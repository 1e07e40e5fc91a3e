#pragma once

#include "kumquatbank/adapter/WireDialect.h"
#include "kumquatbank/engine/LineChannel.h"
#include "kumquatbank/routing/EndpointEntry.h"
#include "kumquatbank/routing/SessionState.h"

#include <memory>

namespace kumquatbank {

/// One complete answer of a database.
struct DatabaseReply {
    std::string body; ///< Result lines as the database sent them, without the final ready line.
    std::string firstRow;
    std::string ready; ///< The final line, as the database sent it.
    std::optional<ErrorCode> code; ///< Set if the statement failed.
    TransactionState state = TransactionState::None;
    std::optional<LogPosition> position;

    bool isSuccess() const { return !code; }
};

enum class ExchangeStatus {
    Ok,
    NotSent, ///< The connection was closed before anything was sent.
    Broken,
    TimedOut,
};

/// One session on a database. Whoever uses it sends commands and receives exactly one reply for each, in order.
class DatabaseConnection {
public:
    struct OpenResult {
        std::unique_ptr<DatabaseConnection> connection; ///< Null if it failed.
        std::optional<ErrorCode> refusal; ///< Set if the database refused it; else it could not be reached.
        std::chrono::microseconds roundTrip { 0 }; ///< Of the network, as the connect took it.
    };

    static Task<OpenResult> open(asio::io_context& io, EndpointEntry endpoint, std::string hostName, std::chrono::milliseconds timeout);

    explicit DatabaseConnection(LineChannel channel)
        : m_channel(std::move(channel))
    {
    }

    /// Sends @p commands, which together ask for @p replies replies.
    Task<ExchangeStatus> send(std::string commands, int replies, BootTime until);
    Task<ExchangeStatus> receive(DatabaseReply& reply, BootTime until);

    /// Sends commands and returns their replies; stops at the first one that is missing.
    Task<ExchangeStatus> exchange(std::string commands, std::vector<DatabaseReply>& replies, std::size_t n, BootTime until);

    ConnectionState& state() { return m_state; }
    /// True if the connection is open, outside a transaction, and owes no reply.
    bool isReusable() const { return m_channel.isOpen() && m_pendingReplies == 0 && m_transaction == TransactionState::None; }
    bool needsRollback() const { return m_channel.isOpen() && m_pendingReplies == 0 && m_transaction != TransactionState::None; }
    bool hasClosed() { return m_channel.isClosedByPeer(); }
    void close() { m_channel.close(); }
    TransactionState transactionState() const { return m_transaction; }
    /// The channel of a connection that has no further use.
    LineChannel releaseChannel() { return std::move(m_channel); }

private:
    LineChannel m_channel;
    ConnectionState m_state;
    int m_pendingReplies = 0; ///< Replies that were asked for and not received.
    TransactionState m_transaction = TransactionState::None;
};

} // namespace kumquatbank
