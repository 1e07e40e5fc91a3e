#pragma once

#include "ConnectionLease.h"
#include "ConnectionRequest.h"
#include "Endpoint.h"
#include "PoolerMetrics.h"
#include "PositionSample.h"
#include "kumquatbank/engine/AutoResetEvent.h"
#include "kumquatbank/routing/ConnectionSharing.h"
#include "kumquatbank/routing/ReadFloor.h"
#include "kumquatbank/routing/RoutingConfig.h"
#include "kumquatbank/routing/ServiceScheduler.h"

#include <set>

namespace kumquatbank {

/// Why no connection could be had.
struct AcquireFailure {
    ErrorCode code = ErrorCode::Busy;
    std::string reason;
    std::chrono::milliseconds retryAfter { 0 };
};

class ConnectionBorrower;

/// One group of endpoints with its connections, its queue, and what this host believes of its primary.
class DatabaseService : public std::enable_shared_from_this<DatabaseService> {
public:
    using Floor = ReadFloor<BootClock>;

    /// @p borrower: may be null; must outlive this object.
    DatabaseService(asio::io_context& io, std::string name, std::string hostName, PoolerMetrics& metrics, ConnectionBorrower* borrower);

    const std::string& name() const { return m_name; }

    /// @p lenderCount: hosts that hold the connections where they are scarce; 0 if each host has its own.
    void setLimits(const ServiceLimits& limits, int hostCount, int lenderCount);
    void setBorrower(ConnectionBorrower& borrower) { m_borrower = &borrower; }
    /// Entries of this service as the store has them now. @p isComplete: the store was reachable, so that a missing
    /// entry counts as a removed one after a grace period.
    void setEntries(const std::vector<EndpointEntry>& entries, bool isComplete);

    /// Gets a connection for a session, borrowed or of this host.
    Task<tl::expected<ConnectionLease, AcquireFailure>> acquire(ConnectionRequest request, const SessionState& session);
    /// Gets a connection of this host, opening one if need be. A read first waits for the position that it must find.
    Task<tl::expected<ConnectionLease, AcquireFailure>> acquireOwn(ConnectionRequest request, const SessionState& session);
    /// False if no endpoint that this host reaches may serve the demand now.
    bool canServe(const ConnectionRequest& request) const;
    /// True if the demand would not be served at once.
    bool mayWait(const ConnectionRequest& request) const;
    /// True if connections are scarce, so that holders lend them to the other hosts.
    bool isLent() const { return sharing().isLent() && m_borrower != nullptr; }
    /// Rank of this host among the holders of the service; 0 for the first in its region.
    std::optional<std::size_t> holderRank() const;
    /// True if this host asks the primary for its position and for a sign of life. Where connections are lent, only the
    /// holders do, and hosts that found no holder.
    bool monitorsPrimary() const;
    /// Records that another host asked for a connection.
    void recordLoanRequest() { m_lastLoanRequest = BootClock::now(); }
    /// Closes the connections that are held for other hosts, because this one is about to stop; the next holders open
    /// theirs. Loans in use go on.
    void stopHolding();
    bool hasStoppedHolding() const { return m_hasStoppedHolding; }
    /// Gets a connection to one endpoint outside the queue, for probes; null if none is free or it cannot be reached.
    Task<std::optional<ConnectionLease>> acquireProbe(std::shared_ptr<Endpoint> endpoint, std::chrono::milliseconds timeout);

    /// Position that a read must find, waiting for the primary's if the known ones are too old.
    Task<std::optional<LogPosition>> awaitFloor(std::chrono::milliseconds maxStaleness, Floor::SessionCommit ownCommit, BootTime until);
    std::optional<LogPosition> currentFloor(std::chrono::milliseconds maxStaleness, const Floor::SessionCommit& ownCommit) const;

    /// Records an answer that only the primary gives. @p sentAt: when the statement was sent.
    void recordPrimary(Endpoint& endpoint, std::optional<LogPosition> position, BootTime sentAt);
    /// Records a position that a peer had from the primary. @p requestedAt: when the peer was asked.
    void recordPeerSample(const PositionSample& sample, BootTime requestedAt);
    /// The newest known position of the primary, its age counted from @p requestedAt; empty if none is known.
    std::optional<PositionSample> newestSample(BootTime requestedAt) const;
    /// Records that the endpoint refused because it is not the primary.
    void recordNotPrimary(Endpoint& endpoint);
    void recordLagging(Endpoint& endpoint);
    void recordCaughtUp(Endpoint& endpoint) { endpoint.lagBackoff = std::chrono::milliseconds(0); }
    void recordFailure(Endpoint& endpoint, std::string_view description);
    void recordAnswer(Endpoint& endpoint, BootTime sentAt);
    /// Records how long a statement of a client took. @p wasRefused: the endpoint had no room for it.
    void recordStatement(Endpoint& endpoint, BootTime sentAt, bool wasRefused);

    /// Endpoints that lack recent positions, for the requests that need one.
    std::set<std::string> laggingEndpoints() const;

    std::shared_ptr<Endpoint> primary() const;
    std::shared_ptr<Endpoint> find(const std::string& id) const;
    const std::map<std::string, std::shared_ptr<Endpoint>>& endpoints() const { return m_endpoints; }
    /// Last endpoint believed to be the primary, also while it cannot be reached.
    const std::string& lastPrimary() const { return m_lastPrimary; }
    BootTime primarySince() const { return m_primarySince; }
    ServiceScheduler& scheduler() { return m_scheduler; }
    const Floor& floorSamples() const { return m_floor; }

    /// Periodic upkeep: probes the primary if nothing else proves it, looks for a new one, drops endpoints that are gone.
    Task<void> runMaintenance();
    /// Asks an endpoint whether it is the primary, without running a statement.
    Task<void> probe(std::shared_ptr<Endpoint> endpoint);

    void returnConnection(const std::string& endpoint, std::unique_ptr<DatabaseConnection> connection, BootTime since);

private:
    Task<tl::expected<std::unique_ptr<DatabaseConnection>, ErrorCode>> open(std::shared_ptr<Endpoint> endpoint, std::chrono::milliseconds timeout);
    Task<void> rollBack(std::shared_ptr<Endpoint> endpoint, std::unique_ptr<DatabaseConnection> connection, BootTime since);
    std::unique_ptr<DatabaseConnection> takeIdle(Endpoint& endpoint, const SessionState* session);
    static void closeAllIdle(Endpoint& endpoint);
    void closeExpiredIdle(Endpoint& endpoint, BootTime now);
    /// Whether a connection that was given back stays open.
    bool shouldKeepIdle(const Endpoint& endpoint) const;
    void refreshScheduler(const Endpoint& endpoint);
    /// Tells the scheduler whether an idle connection is at hand.
    void updateOpeningCost(const Endpoint& endpoint);
    ConnectionSharing sharing() const { return { m_limits.maxConnections, m_hostCount, m_lenderCount }; }
    /// True if this host holds connections that it keeps open for others.
    bool isHolder() const;
    /// True if the primary fails to answer, so that nothing is sent to it before a probe has succeeded.
    bool isSuspect(const Endpoint& primary, BootTime now) const;
    void addFloorSample(LogPosition position, BootTime takenAt);
    void setPrimary(const std::string& id, std::string_view evidence);
    void removeMissingEndpoints(BootTime now);
    bool shouldProbe(const Endpoint& primary, BootTime now) const;

    asio::io_context& m_io;
    std::string m_name;
    std::string m_hostName;
    PoolerMetrics& m_metrics;
    ServiceLimits m_limits;
    ConnectionBorrower* m_borrower;
    int m_hostCount = ConnectionSharing::unknownHostCount;
    int m_lenderCount = 0;
    BootTime m_lastLoanRequest {}; ///< When another host last asked for a connection.
    bool m_hasStoppedHolding = false;
    BootTime m_lastOwnUse {}; ///< When a connection of this host was last wanted.
    std::map<std::string, std::shared_ptr<Endpoint>> m_endpoints;
    ServiceScheduler m_scheduler;
    Floor m_floor;
    std::string m_primary; ///< Believed primary; empty while none is known.
    std::string m_lastPrimary;
    BootTime m_primarySince {};
    BootTime m_lastFloorRequest {};
    BootTime m_lastPrimarySearch {};
    BootTime m_lastPeerSample {}; ///< When a peer last told a position.
    std::vector<std::shared_ptr<AutoResetEvent>> m_floorWaiters;
    bool m_isStoreComplete = false;
    std::set<std::string> m_probesInProgress;
};

} // namespace kumquatbank
