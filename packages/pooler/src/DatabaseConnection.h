#pragma once

#include "CommandBatch.h"
#include "kumquatbank/engine/LineChannel.h"
#include "kumquatbank/routing/ConnectionState.h"

#include <memory>

namespace kumquatbank {

/// One complete reply of a database.
struct DatabaseReply {
    std::string body; ///< Result lines as received, without the final READY line.
    std::string firstRow;
    std::string ready; ///< The final READY line as received.
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
    Refused, ///< The endpoint refused a command of the proxy's own, which nothing of the client has followed.
};

/// One session on a database. The user sends commands and receives exactly one reply for each, in order.
class DatabaseConnection {
public:
    struct OpenResult {
        std::unique_ptr<DatabaseConnection> connection; ///< Null if opening failed.
        std::optional<ErrorCode> refusal; ///< Set if the database refused; otherwise it was unreachable.
        std::chrono::microseconds roundTrip { 0 }; ///< Network round trip, taken from the TCP connect time.
    };

    /// @p account: account for which the connection is used; the database is told @p hostName if it is empty.
    static Task<OpenResult> open(asio::io_context& io, EndpointEntry endpoint, std::string account, std::string hostName, std::chrono::milliseconds timeout);

    DatabaseConnection(LineChannel channel, std::string account)
        : m_channel(std::move(channel))
        , m_account(std::move(account))
        , m_number(nextNumber())
    {
    }

    Task<ExchangeStatus> send(CommandBatch batch, BootTime until);
    Task<ExchangeStatus> receive(DatabaseReply& reply, BootTime until);

    /// Sends commands and receives their replies; stops at the first one that is missing.
    Task<ExchangeStatus> exchange(CommandBatch batch, std::vector<DatabaseReply>& replies, BootTime until);

    /// What the database holds for this connection, as its answers say.
    const ConnectionState& state() const { return m_state; }
    /// Account that the database was told; empty if it was told the name of a host.
    const std::string& account() const { return m_account; }
    /// Number of the connection in logs; unique in this process, also for borrowed connections.
    std::uint64_t number() const { return m_number; }
    /// Returns true if the connection is open and another session can use it.
    bool isReusable() const { return m_channel.isOpen() && m_state.isReusable(); }
    /// Returns true if the connection is open and a clean-up makes it reusable.
    bool needsCleanUp() const { return m_channel.isOpen() && m_state.needsCleanUp(); }
    /// Returns true if the connection cannot be used any more: the database has closed it, or has sent what nothing asked for.
    bool hasEnded();
    void close() { m_channel.close(); }
    /// Moves the channel out; the connection must not be used afterwards.
    LineChannel releaseChannel() { return std::move(m_channel); }

private:
    static std::uint64_t nextNumber();
    /// Applies a complete reply to the state, and logs a doubt that it raises.
    void recordReply(const DatabaseReply& reply);

    LineChannel m_channel;
    std::string m_account;
    std::uint64_t m_number;
    ConnectionState m_state;
};

} // namespace kumquatbank
