#pragma once

#include "kumquatbank/group/group.h"
#include "kumquatbank/membership/membership.h"

#include <condition_variable>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace kumquatbank {

/// The database groups that this process holds or is handing over, reconciled with the member table and the
/// catalogue: a group is started when this process becomes its first candidate and drained when it no longer is.
/// Thread-safe.
class GroupRegistry {
public:
    GroupRegistry(DatabaseGroupOptions options, Catalogue& catalogue, Membership& membership, CauseLedger& causes);
    ~GroupRegistry();
    GroupRegistry(const GroupRegistry&) = delete;
    GroupRegistry& operator=(const GroupRegistry&) = delete;

    void start();

    /// Hands over all groups and waits until their open requests and transactions have finished. No group is started
    /// afterwards.
    void drainAll();

    /// The group of the database if this process holds or is claiming it; null otherwise.
    std::shared_ptr<DatabaseGroup> find(const std::string& database) const;

    /// All group objects of the database, including those being handed over, which may have open transactions.
    std::vector<std::shared_ptr<DatabaseGroup>> findAll(const std::string& database) const;

    /// Starts a group whose first candidate is another process that does not answer or has declined. The group is
    /// kept while this process's claim stands or the takeover is recent. Null for an unknown database and while
    /// draining.
    std::shared_ptr<DatabaseGroup> takeOver(const std::string& database);

    /// Groups held or being claimed, for the state dump and the metrics.
    std::vector<std::pair<std::string, std::shared_ptr<DatabaseGroup>>> held() const;

private:
    struct HeldGroup {
        std::shared_ptr<DatabaseGroup> group;
        std::shared_ptr<const DatabaseDefinition> definition;
        std::optional<TimePoint> takenOverAt; ///< Set if another process is the first candidate.
        std::optional<TimePoint> unwantedSince;
    };

    void reconcileLoop(const std::stop_token& stop);
    void reconcile();

    /// False while the member table and the catalogue are unchanged and no group is to be handed over; this avoids
    /// computing unchanged candidate rankings.
    bool needsReconcile() const;
    /// Requests the claims of groups whose first candidate is this process but which it does not hold; a process
    /// that took one over may have released it.
    void requestClaims();
    bool isWanted(const DatabaseDefinition& definition) const;
    bool isSurplus(HeldGroup& held, bool isWanted) const;
    std::shared_ptr<DatabaseGroup> startGroup(
        const std::shared_ptr<const DatabaseDefinition>& definition, std::optional<TimePoint> takenOverAt);
    void retire(std::shared_ptr<DatabaseGroup> group, const std::string& database);

    const DatabaseGroupOptions m_options;
    Catalogue& m_catalogue;
    Membership& m_membership;
    CauseLedger& m_causes;

    mutable std::mutex m_mutex;
    std::condition_variable_any m_wakeReconciler;
    std::map<std::string, HeldGroup> m_held;
    std::multimap<std::string, std::shared_ptr<DatabaseGroup>> m_retiring;
    std::vector<std::future<void>> m_retirements;
    bool m_isDraining = false;
    std::uint64_t m_reconciledMembersVersion = 0; ///< Version of the member table at the last reconcile().
    std::uint64_t m_reconciledRevision = 0; ///< Revision of the catalogue at the last reconcile().
    std::jthread m_reconciler;
};

} // namespace kumquatbank
