#pragma once

#include "kumquatbank/admission/admission.h"
#include "kumquatbank/catalogue/catalogue.h"
#include "kumquatbank/causes/causes.h"

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace kumquatbank {

/// Timing, policy and surroundings of a DatabaseGroup.
struct DatabaseGroupOptions {
    HostIdentity self;
    std::string deployment; ///< Written into session tokens.
    Milliseconds probeInterval { 250 };
    Milliseconds probeTimeout { 500 };
    Milliseconds forcedPromotionDelay { 3000 }; ///< Promotion despite replicas that still hear the primary.
    Milliseconds delayThreshold { 100 }; ///< Longer waits are recorded as delays.
    Milliseconds transactionIdle { 30'000 }; ///< An idle transaction is rolled back after this time.
    AdmissionPolicy policy = AdmissionPolicy::RankedWithFloors;
    bool confirmByReplica = true; ///< False only as a baseline for measurements: the primary alone confirms.
    std::function<bool(const HostAddress&)> isEndpointLeaving; ///< Second source of leaving notices.
};

/// What a holder knows of one endpoint.
struct EndpointState {
    unsigned slot = 0;
    HostAddress address;
    std::string place;
    bool isReachable = false;
    bool isPrimary = false;
    bool isLeaving = false;
    Term promisedTerm = 0;
    LogPosition position;
    Milliseconds lag { 0 }; ///< Age of the replica's data by this process's clock; the maximum if unknown.
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

    /// Takes no new transactions or claims, lets open work finish (idle transactions up to @p idleTimeout), closes
    /// every connection and ends the threads.
    void drain(Milliseconds idleTimeout);

    /// True while the last probe round showed this process's claim at a majority of slots.
    bool isHolder() const;

    /// Peer address of the process that superseded this one's claim; empty if none is known.
    std::string knownHolder() const;

    /// Permits a new claim at once instead of 2 s after the last one was superseded. Call it when the process
    /// named by knownHolder() is known to be dead.
    void reclaim();

    /// Claims the group again once the pause after a lost claim has passed. Thread-safe.
    void requestClaim();

    /// Runs one request to its final answer. @p index and @p count place this database in its service, for the
    /// entry's limits. NotRun/NotHolder when this process does not hold the group.
    Result<CallerAnswer> run(const CallerRequest& request, const CatalogueEntry& entry, const SessionToken& session,
        std::size_t index, std::size_t count);

    /// Settles a commit whose transaction is not open any more, by its idempotency key: the stored answer when an
    /// earlier commit with this key has run; else NotRun/UnknownTransaction, and the key is used up, so that an
    /// earlier commit that is still on its way cannot run later.
    Result<CallerAnswer> resolveCommit(
        const CallerRequest& request, const CatalogueEntry& entry, const SessionToken& session);

    std::vector<EndpointState> endpoints() const;
    nlohmann::json state() const; ///< For the state dump and kumquatctl: endpoints, claim, queues, promotions.

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace kumquatbank
