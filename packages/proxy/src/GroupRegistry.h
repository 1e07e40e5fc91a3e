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

/// The database groups that this process holds or is handing over. Follows the member table and the
/// catalogue: a group starts when this process becomes its first candidate and is drained when it no longer
/// is. Thread-safe.
class GroupRegistry {
public:
    GroupRegistry(DatabaseGroupOptions options, Catalogue& catalogue, Membership& membership, CauseLedger& causes);
    ~GroupRegistry();
    GroupRegistry(const GroupRegistry&) = delete;
    GroupRegistry& operator=(const GroupRegistry&) = delete;

    void start();

    /// Hands every group over and waits until their open work has finished. No group starts afterwards.
    void drainAll();

    /// The group that this process holds or is claiming; null otherwise.
    std::shared_ptr<DatabaseGroup> find(const std::string& database) const;

    /// Every group object of the database, including those being handed over; for open transactions.
    std::vector<std::shared_ptr<DatabaseGroup>> findAll(const std::string& database) const;

    /// Starts a group although another process is its first candidate, because that one does not answer or
    /// has declined. Kept while this process's claim stands or the takeover is recent. Null for an unknown
    /// database and while draining.
    std::shared_ptr<DatabaseGroup> takeOver(const std::string& database);

    /// Groups in use, for the state dump and the metrics.
    std::vector<std::pair<std::string, std::shared_ptr<DatabaseGroup>>> held() const;

private:
    struct HeldGroup {
        std::shared_ptr<DatabaseGroup> group;
        std::shared_ptr<const DatabaseDefinition> definition;
        std::optional<TimePoint> takenOverAt; ///< Set when another process is the first candidate.
        std::optional<TimePoint> unwantedSince;
    };

    void reconcileLoop(const std::stop_token& stop);
    void reconcile();

    /// False while neither the member table nor the catalogue has moved and no group waits to be handed over, so
    /// that nothing is ranked in vain.
    bool needsReconcile() const;
    /// Asks for the claim of groups whose first candidate this process is; a process that took one over may have
    /// given it up.
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
    std::uint64_t m_reconciledMembersVersion = 0; ///< Version of the member table at the last complete reconcile().
    std::uint64_t m_reconciledRevision = 0; ///< Revision of the catalogue at that time.
    std::jthread m_reconciler;
};

} // namespace kumquatbank
