#pragma once

#include "ConnectionLease.h"
#include "ConnectionPool.h"
#include "ConnectionRequest.h"
#include "Endpoint.h"
#include "EndpointPacer.h"
#include "PoolerMetrics.h"
#include "PositionSample.h"
#include "kumquatbank/engine/AutoResetEvent.h"
#include "kumquatbank/routing/CommitProgress.h"
#include "kumquatbank/routing/ConnectionSharing.h"
#include "kumquatbank/routing/ReadFloor.h"
#include "kumquatbank/routing/RoutingConfig.h"
#include "kumquatbank/routing/ServiceScheduler.h"

#include <set>

namespace kumquatbank {

/// Why no connection could be acquired.
struct AcquireFailure {
    ErrorCode code = ErrorCode::Busy;
    std::string reason;
    std::chrono::milliseconds retryAfter { 0 };
};

class ConnectionBorrower;

/// One group of endpoints (a primary and its replicas): its connections, its request queue, and the primary that this
/// host has recorded.
class DatabaseService : public std::enable_shared_from_this<DatabaseService> {
public:
    using Floor = ReadFloor<BootClock>;

    /// @p borrower may be null; otherwise it must outlive this object.
    DatabaseService(asio::io_context& io, std::string name, std::string hostName, PoolerMetrics& metrics, ConnectionBorrower* borrower);

    const std::string& name() const { return m_name; }

    /// @p lenderCount: hosts that hold the connections where these are scarce; 0 if each host has its own.
    void setLimits(const ServiceLimits& limits, int hostCount, int lenderCount);
    void setBorrower(ConnectionBorrower& borrower) { m_borrower = &borrower; }
    /// Limits the use of each endpoint by its answers, and ejects endpoints that fail more than their peers from reads.
    void enablePacing() { m_pacer = std::make_unique<EndpointPacer>(m_name, m_scheduler, m_metrics); }
    /// Null without pacing.
    const ServicePacing* pacing() const { return m_pacer ? &m_pacer->pacing() : nullptr; }
    /// @p drainTime: for which an endpoint serves clients after it has reported that it is draining. @p memberRetention:
    /// for which an endpoint that disappeared counts as one that may hold acknowledged commits.
    void setEndpointTimes(std::chrono::milliseconds drainTime, std::chrono::milliseconds memberRetention);
    /// Applies the store's current entries of this service. @p isComplete: the store was reachable, so a missing entry
    /// counts as removed after a grace period. @p previousAnswerAt: time of the answer that showed the entries before
    /// this change.
    void setEntries(const std::vector<EndpointEntry>& entries, bool isComplete, BootTime previousAnswerAt);

    /// Acquires a connection for a session, either borrowed or of this host.
    Task<tl::expected<ConnectionLease, AcquireFailure>> acquire(ConnectionRequest request, const SessionState& session);
    /// Acquires a connection of this host, opening one if necessary. A read first waits until its minimum position is
    /// known.
    Task<tl::expected<ConnectionLease, AcquireFailure>> acquireOwn(ConnectionRequest request, const SessionState& session);
    /// Returns false if this host can currently reach no endpoint that may serve the request.
    bool canServe(const ConnectionRequest& request) const;
    /// Returns true if the request might have to wait.
    bool mayWait(const ConnectionRequest& request) const;
    /// Returns true if connections are scarce, so that holders lend them to the other hosts.
    bool isLent() const { return sharing().isLent() && m_borrower != nullptr; }
    /// Returns the rank of this host among the holders of the service, 0 for the first in its region.
    std::optional<std::size_t> holderRank() const;
    /// Returns true if this host probes the primary for its log position and liveness. Where connections are lent, only
    /// the holders do so, and hosts that found no holder.
    bool monitorsPrimary() const;
    /// Records that another host requested a connection.
    void recordLoanRequest() { m_lastLoanRequest = BootClock::now(); }
    /// Closes the connections held for other hosts, because this host is about to stop; the next holders open their
    /// own. Open loans continue.
    void stopHolding();
    bool hasStoppedHolding() const { return m_hasStoppedHolding; }
    /// Acquires a connection to one endpoint for probes, bypassing the queue; empty if none is idle and none can be
    /// opened.
    Task<std::optional<ConnectionLease>> acquireProbe(std::shared_ptr<Endpoint> endpoint, std::chrono::milliseconds timeout);

    /// Returns the minimum position for a read. If the known samples are too old, waits until @p until for a new one
    /// from the primary.
    Task<std::optional<LogPosition>> awaitFloor(std::chrono::milliseconds maxStaleness, Floor::SessionCommit ownCommit, BootTime until);
    std::optional<LogPosition> currentFloor(std::chrono::milliseconds maxStaleness, const Floor::SessionCommit& ownCommit) const;

    /// Records an answer that only the primary can give. @p sentAt: when the statement was sent.
    void recordPrimary(Endpoint& endpoint, std::optional<LogPosition> position, BootTime sentAt);
    /// Records a primary position reported by a peer. @p requestedAt: when the request to the peer was sent.
    void recordPeerSample(const PositionSample& sample, BootTime requestedAt);
    /// Returns the newest known position of the primary, its age relative to @p requestedAt; empty if none is known.
    std::optional<PositionSample> newestSample(BootTime requestedAt) const;
    /// Records that the endpoint refused a statement because it is not the primary.
    void recordNotPrimary(Endpoint& endpoint);
    void recordLagging(Endpoint& endpoint);
    void recordCaughtUp(Endpoint& endpoint) { endpoint.lagBackoff = std::chrono::milliseconds(0); }
    void recordFailure(Endpoint& endpoint, std::string_view description);
    void recordAnswer(Endpoint& endpoint, BootTime sentAt);
    /// Records the duration of a client's statement. @p wasRefused: the endpoint refused it because it was full.
    void recordStatement(Endpoint& endpoint, BootTime sentAt, bool wasRefused);
    /// Records the end of a statement for the endpoint's pace and health. @p sentAt: empty if the time of its own answer is
    /// unknown.
    void recordOutcome(Endpoint& endpoint, StatementOutcome outcome, std::optional<BootTime> sentAt);

    /// Returns the endpoints to exclude from reads with a minimum position, because they recently lagged.
    std::set<std::string> laggingEndpoints() const;

    std::shared_ptr<Endpoint> primary() const;
    std::shared_ptr<Endpoint> find(const std::string& id) const;
    const std::map<std::string, std::shared_ptr<Endpoint>>& endpoints() const { return m_endpoints; }
    /// Last recorded primary; kept while no current primary is known.
    const std::string& lastPrimary() const { return m_lastPrimary; }
    BootTime primarySince() const { return m_primarySince; }
    int syncReplicas() const { return m_limits.syncReplicas; }
    /// Number of endpoints that may hold acknowledged commits: the known ones, those that disappeared recently, and the
    /// last primary.
    std::size_t memberCount() const;
    /// Returns true once this host has followed the service for long enough to know which endpoints disappeared recently.
    bool areMembersKnown() const;
    /// Returns how much longer clients' requests may be sent to a draining endpoint; not positive after the end of that
    /// time.
    std::chrono::milliseconds servingTime(const Endpoint& endpoint) const;

    /// Whether the primary confirms what clients write; to be used only where replicas have to receive commits.
    CommitProgress& commits() { return m_commits; }
    bool hasSynchronousReplicas() const { return m_limits.syncReplicas > 0; }
    /// Returns true if no write is confirmed, as while the replicas are stopped.
    bool lacksCommits() const { return hasSynchronousReplicas() && m_commits.lacksConfirmation(BootClock::now()); }
    /// Returns how long a write has to wait because it could not be confirmed; empty if it may be sent.
    std::optional<std::chrono::milliseconds> commitWait() const { return hasSynchronousReplicas() ? m_commits.wait(BootClock::now()) : std::nullopt; }
    /// When the newest request was sent whose answer only the primary can give.
    BootTime primaryConfirmedAt() const { return m_primaryConfirmedAt; }
    /// Refuses requests for the primary at once until then, because no endpoint can become primary before.
    void refuseWritesUntil(BootTime until) { m_writesRefusedUntil = until; }
    PoolerMetrics& metrics() { return m_metrics; }
    ServiceScheduler& scheduler() { return m_scheduler; }
    const ServiceScheduler& scheduler() const { return m_scheduler; }
    std::size_t idleConnections() const;
    const Floor& floorSamples() const { return m_floor; }

    /// Performs periodic maintenance: probes the primary if no recent answer confirms it, searches for a new one, and
    /// removes endpoints whose entries are gone.
    Task<void> runMaintenance();
    /// Checks whether an endpoint is the primary, without running a statement.
    Task<void> probe(std::shared_ptr<Endpoint> endpoint);

    /// @p charge: whose use of the permit is recorded; empty for a permit that was taken outside the queue.
    void returnConnection(const std::string& endpoint, std::unique_ptr<DatabaseConnection> connection, BootTime since, std::optional<PermitCharge> charge);

private:
    /// An endpoint whose entry has been removed.
    struct DepartedEndpoint {
        HostAddress address;
        bool wasDraining = false; ///< It has left as planned, and its log goes to the next endpoint at its address.
        BootTime at {};
    };

    Task<tl::expected<std::unique_ptr<DatabaseConnection>, ErrorCode>> open(std::shared_ptr<Endpoint> endpoint, std::string account, std::chrono::milliseconds timeout);
    /// Rolls back or resets a connection, and returns it or closes it if that fails.
    Task<void> cleanUp(std::shared_ptr<Endpoint> endpoint, std::unique_ptr<DatabaseConnection> connection, BootTime since, std::optional<PermitCharge> charge);
    ConnectionPool::Rules poolRules() const;
    /// Records the answer of the queue to a request; requests without an account are not counted.
    void recordQueueAnswer(const PermitRequest& request, bool isOverShare, bool granted);
    void refreshScheduler(const Endpoint& endpoint);
    /// Updates the scheduler's cost of a new connection. It is above 0 only if connections are scarce, this host is not
    /// a holder and no idle connection is available.
    void updateOpeningCost(const Endpoint& endpoint);
    ConnectionSharing sharing() const { return { m_limits.maxConnections, m_hostCount, m_lenderCount }; }
    /// Returns true if this host keeps connections open for other hosts.
    bool isHolder() const;
    /// Returns true if the primary has stopped answering. It then receives no requests until a probe succeeds.
    bool isSuspect(const Endpoint& primary, BootTime now) const;
    void addFloorSample(LogPosition position, BootTime takenAt);
    void setPrimary(const std::string& id, std::string_view evidence);
    void removeMissingEndpoints(BootTime now);
    bool shouldProbe(const Endpoint& primary, BootTime now) const;

    asio::io_context& m_io;
    std::string m_name;
    PoolerMetrics& m_metrics;
    ServiceLimits m_limits;
    ConnectionBorrower* m_borrower;
    int m_hostCount = ConnectionSharing::unknownHostCount;
    int m_lenderCount = 0;
    BootTime m_lastLoanRequest {}; ///< When another host last requested a connection.
    bool m_hasStoppedHolding = false;
    BootTime m_lastOwnUse {}; ///< When a connection of this host was last requested.
    std::map<std::string, std::shared_ptr<Endpoint>> m_endpoints;
    ConnectionPool m_pool;
    ServiceScheduler m_scheduler;
    std::unique_ptr<EndpointPacer> m_pacer; ///< Null without pacing.
    Floor m_floor;
    std::string m_primary; ///< Recorded primary; empty while none is known.
    std::string m_lastPrimary;
    BootTime m_primarySince {};
    BootTime m_lastFloorRequest {};
    BootTime m_lastPrimarySearch {};
    BootTime m_lastPeerSample {}; ///< When a peer last reported a newer position.
    std::vector<std::shared_ptr<AutoResetEvent>> m_floorWaiters;
    bool m_isStoreComplete = false;
    std::chrono::milliseconds m_drainTime { 0 };
    std::chrono::milliseconds m_memberRetention { 0 };
    std::map<std::string, DepartedEndpoint> m_departed; ///< Endpoints that disappeared recently, by id.
    std::optional<BootTime> m_followedSince; ///< When the entries of this service were first received.
    CommitProgress m_commits;
    BootTime m_primaryConfirmedAt {};
    BootTime m_writesRefusedUntil {};
    std::set<std::string> m_probesInProgress;
};

} // namespace kumquatbank
