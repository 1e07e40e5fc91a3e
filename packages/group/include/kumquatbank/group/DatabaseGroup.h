#pragma once

#include "kumquatbank/admission/admission.h"
#include "kumquatbank/catalogue/catalogue.h"
#include "kumquatbank/causes/causes.h"

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace kumquatbank {

/// Time-outs, policy and environment of a DatabaseGroup.
struct DatabaseGroupOptions {
    HostIdentity self;
    std::string deployment; ///< Written into session tokens.
    Milliseconds probeInterval { 250 };
    Milliseconds probeTimeout { 500 };
    /// Time after which replicas that are in contact with the primary no longer prevent a promotion.
    Milliseconds forcedPromotionDelay { 3000 };
    Milliseconds delayThreshold { 100 }; ///< Waits of at least this time are recorded as delays.
    Milliseconds transactionIdle { 30'000 }; ///< Idle time after which a transaction is rolled back.
    AdmissionPolicy policy = AdmissionPolicy::RankedWithFloors;
    bool confirmByReplica = true; ///< False only as a baseline in measurements; the primary then confirms alone.
    std::function<bool(const HostAddress&)> isEndpointLeaving; ///< Additional source of leaving notices.
};

/// State of one endpoint as the holder last recorded it.
struct EndpointState {
    unsigned slot = 0;
    HostAddress address;
    std::string place;
    bool isReachable = false;
    bool isPrimary = false;
    bool isLeaving = false;
    Term promisedTerm = 0;
    LogPosition position;
    Milliseconds lag { 0 }; ///< Age of the replica's data by this process's clock; Milliseconds::max() if unknown.
};

/// The holder's side of one database group: claim, connections, probes, routing, confirmation, promotion and
/// transactions. Thread-safe.
class DatabaseGroup {
public:
    DatabaseGroup(DatabaseDefinition definition, DatabaseGroupOptions options, CauseLedger& causes);
    ~DatabaseGroup();
    DatabaseGroup(const DatabaseGroup&) = delete;
    DatabaseGroup& operator=(const DatabaseGroup&) = delete;

    /// Starts probing and claiming.
    void start();

    /// Accepts no new transactions and makes no new claims, waits for open requests and transactions, closes every
    /// connection and ends the threads. Transactions that are idle for @p idleTimeout are rolled back.
    void drain(Milliseconds idleTimeout);

    /// True while recent status reports show this process's claim at a majority of slots.
    bool isHolder() const;

    /// Peer address of the process that superseded this one's claim; empty if none is known.
    std::string knownHolder() const;

    /// Permits a new claim at once instead of after the pause of at least 2 s that follows a superseded claim. For
    /// callers that have detected the failure of the process named by knownHolder().
    void reclaim();

    /// Requests a new claim, which is made once the pause after a superseded claim has passed. Thread-safe.
    void requestClaim();

    /// Runs one request to its final answer. @p index is the position of this database among the @p count databases
    /// of its service; the entry's limits depend on both. NotRun/NotHolder when this process does not hold the group.
    Result<CallerAnswer> run(const CallerRequest& request, const CatalogueEntry& entry, const SessionToken& session,
        std::size_t index, std::size_t count);

    /// Resolves a commit whose transaction is no longer open, by its idempotency key. Returns the stored answer when an
    /// earlier commit with this key has run. Otherwise returns NotRun/UnknownTransaction and consumes the key, so that
    /// an earlier commit that is still in transit cannot run later.
    Result<CallerAnswer> resolveCommit(
        const CallerRequest& request, const CatalogueEntry& entry, const SessionToken& session);

    std::vector<EndpointState> endpoints() const;
    nlohmann::json state() const; ///< For the state dump and kumquatctl: endpoints, claim, queues, promotions.

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace kumquatbank
