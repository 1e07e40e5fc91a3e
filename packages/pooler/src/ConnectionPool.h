#pragma once

#include "Endpoint.h"
#include "PoolerMetrics.h"
#include "kumquatbank/engine/Async.h"
#include "kumquatbank/routing/ConnectionSharing.h"

namespace kumquatbank {

/// The connections of this host to the endpoints of one service: opens and closes them and keeps the idle ones. Which
/// idle connection is closed for another account is decided by the ConnectionCache of the endpoint.
class ConnectionPool {
public:
    /// What this host currently may keep.
    struct Rules {
        ConnectionSharing sharing;
        bool isLent = false; ///< Hosts that hold connections lend them to the others.
        bool isHolder = false; ///< This host is one of them.
        bool hasWaitingRequests = false;
    };

    ConnectionPool(asio::io_context& io, std::string service, std::string hostName, PoolerMetrics& metrics);

    /// Opens a connection of @p account. It is counted from the first moment on, so that concurrent calls do not exceed
    /// the share.
    Task<DatabaseConnection::OpenResult> open(std::shared_ptr<Endpoint> endpoint, std::string account, std::chrono::milliseconds timeout);
    /// Closes idle connections of other accounts until one more may be opened for @p account within @p share.
    void makeRoom(Endpoint& endpoint, std::string_view account, int share);

    /// Takes an idle connection of @p account, preferably one with the values of @p session; null if there is none.
    std::unique_ptr<DatabaseConnection> take(Endpoint& endpoint, std::string_view account, const SessionState& session);
    /// Takes the most recently used idle connection of any account, for a probe.
    std::unique_ptr<DatabaseConnection> takeForProbe(Endpoint& endpoint);
    /// Takes a connection back that was in use for @p held, and keeps or closes it. @p isServing: the endpoint receives
    /// further requests.
    void putBack(Endpoint& endpoint, std::unique_ptr<DatabaseConnection> connection, bool isServing, std::chrono::nanoseconds held, const Rules& rules);

    void closeAllIdle(Endpoint& endpoint, std::string_view reason);
    void closeExpiredIdle(Endpoint& endpoint, const Rules& rules, BootTime now);

private:
    std::unique_ptr<DatabaseConnection> takeAt(Endpoint& endpoint, std::vector<IdleConnection>::iterator it);
    void closeIdle(Endpoint& endpoint, std::size_t index, std::string_view reason);
    static bool shouldKeep(const Endpoint& endpoint, const Rules& rules);
    /// Logs a replaced connection, at most once per logInterval.
    void logReplaced(const Endpoint& endpoint, const ConnectionCache::Choice& choice, std::string_view account, int share, BootTime now);

    asio::io_context& m_io;
    std::string m_service;
    std::string m_hostName;
    PoolerMetrics& m_metrics;
    BootTime m_lastLog {};
    int m_replacedSinceLog = 0;
};

} // namespace kumquatbank
