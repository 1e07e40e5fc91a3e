#pragma once

#include "kumquatbank/core/BootClock.h"
#include "kumquatbank/core/LogPosition.h"

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace kumquatbank {

/// One change of the log that a group of databases replicates.
struct LoggedCommit {
    LogPosition position;
    std::map<std::string, std::string> changes;
    std::string statementId; ///< Of the statement that committed it.
};

/// One database's copy of the log. `received` grows with the network, `applied` follows with the replication lag.
struct ReplicaLog {
    std::vector<LoggedCommit> received;
    std::vector<BootTime> receivedAt;
    std::size_t applied = 0;
    std::map<std::string, std::string> items;
    std::chrono::milliseconds lag { 5 };
    bool isDeaf = false; ///< Receives nothing, as behind a partition.
    bool isPaused = false; ///< Receives nothing until it is resumed or a primary is promoted.

    void apply(BootTime now);
    LogPosition appliedPosition(Term heldTerm) const;
    LogPosition receivedPosition(Term heldTerm) const;
};

/// A group of databases with one primary at most. Promotions take effect at once for all members, as on the platform.
class EmulatedService {
public:
    explicit EmulatedService(std::string name)
        : m_name(std::move(name))
    {
    }

    const std::string& name() const { return m_name; }
    ReplicaLog& addMember(const std::string& id) { return m_logs[id]; }
    ReplicaLog& log(const std::string& id) { return m_logs.at(id); }
    bool hasMember(const std::string& id) const { return m_logs.contains(id); }

    bool isPrimary(const std::string& id) const { return m_primary == id; }
    const std::string& primary() const { return m_primary; }
    Term term() const { return m_term; }

    /// Appends a commit at the primary and sends it to the members that receive.
    LogPosition commit(std::map<std::string, std::string> changes, const std::string& statementId);
    /// All members that receive get what they lack.
    void deliver();
    /// A member receives what it missed while it was deaf.
    void catchUp(const std::string& id);
    /// Makes a member the primary of the next term; commits that it has not received are rolled back everywhere.
    void promote(const std::string& id);
    /// Takes the lead away without giving it to another member.
    void demote()
    {
        m_primary.clear();
        m_crashedPrimary.clear();
    }
    /// Takes the lead away from a primary that crashes; regainLead() gives it back unless another one leads meanwhile.
    void loseLead() { m_crashedPrimary = std::exchange(m_primary, {}); }
    void regainLead(const std::string& id);

    /// Replicas that have to receive a commit before it is acknowledged.
    int syncReplicas = 0;
    /// True if enough replicas have received the commit.
    bool isConfirmed(LogPosition position) const;
    /// True if a promotion has rolled the commit back.
    bool isRolledBack(LogPosition position, const std::string& statementId) const;
    /// Records that a client gets to know that its commit is kept.
    void acknowledge(const std::string& statementId) { m_acknowledged.insert(statementId); }
    /// Statements whose commits were acknowledged after replicas had confirmed them, and rolled back by a promotion.
    const std::vector<std::string>& lostCommits() const { return m_lostCommits; }

    /// All commits that were acknowledged and not rolled back by a promotion.
    const std::vector<LoggedCommit>& survivingCommits() const { return m_commits; }

private:
    std::string m_name;
    std::string m_crashedPrimary; ///< Leads again when it restarts.
    std::set<std::string> m_acknowledged; ///< Statements.
    std::vector<std::string> m_lostCommits;
    std::map<std::string, ReplicaLog> m_logs;
    std::string m_primary;
    Term m_term = 0;
    std::vector<LoggedCommit> m_commits;
};

} // namespace kumquatbank
