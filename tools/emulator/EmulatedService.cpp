#include "EmulatedService.h"

#include <algorithm>
#include <span>

namespace kumquatbank {

void ReplicaLog::apply(BootTime now)
{
    while (applied < received.size() && receivedAt[applied] + lag <= now) {
        for (const auto& [item, value] : received[applied].changes)
            items[item] = value;
        ++applied;
    }
}

LogPosition ReplicaLog::appliedPosition(Term heldTerm) const
{
    return applied == 0 ? LogPosition { std::min<Term>(heldTerm, 1), 0 } : received[applied - 1].position;
}

LogPosition ReplicaLog::receivedPosition(Term heldTerm) const
{
    return received.empty() ? LogPosition { std::min<Term>(heldTerm, 1), 0 } : received.back().position;
}

LogPosition EmulatedService::commit(std::map<std::string, std::string> changes, const std::string& statementId)
{
    const LogPosition position { m_term, m_commits.size() + 1 };
    m_commits.push_back({ position, std::move(changes), statementId });
    deliver();
    return position;
}

void EmulatedService::deliver()
{
    for (const auto& [id, log] : m_logs) {
        if ((!log.isDeaf && !log.isPaused) || id == m_primary)
            catchUp(id);
    }
}

void EmulatedService::catchUp(const std::string& id)
{
    const auto now = BootClock::now();
    auto& log = m_logs.at(id);
    while (log.received.size() < m_commits.size()) {
        log.received.push_back(m_commits[log.received.size()]);
        log.receivedAt.push_back(id == m_primary ? now - log.lag : now);
    }
}

bool EmulatedService::isConfirmed(LogPosition position) const
{
    const auto received = std::ranges::count_if(m_logs, [&](const auto& item) { return item.first != m_primary && item.second.received.size() >= position.position; });
    return received >= syncReplicas;
}

bool EmulatedService::isRolledBack(LogPosition position, const std::string& statementId) const
{
    return m_commits.size() < position.position || m_commits[position.position - 1].statementId != statementId;
}

void EmulatedService::regainLead(const std::string& id)
{
    if (m_primary.empty() && m_crashedPrimary == id)
        m_primary = std::exchange(m_crashedPrimary, {});
}

void EmulatedService::promote(const std::string& id)
{
    auto& winner = m_logs.at(id);
    ++m_term;
    m_primary = id;
    m_crashedPrimary.clear();
    for (const auto& commit : std::span(m_commits).subspan(std::min(winner.received.size(), m_commits.size()))) {
        if (syncReplicas > 0 && m_acknowledged.contains(commit.statementId))
            m_lostCommits.push_back(commit.statementId);
    }
    m_commits = winner.received;
    for (auto& [member, log] : m_logs) {
        log.isPaused = false;
        if (log.received.size() > m_commits.size()) {
            log.received = m_commits;
            log.receivedAt.resize(m_commits.size());
            log.applied = 0;
            log.items.clear();
        }
    }
    for (auto& receivedAt : winner.receivedAt)
        receivedAt = std::min(receivedAt, BootClock::now() - winner.lag);
    winner.apply(BootClock::now());
}

} // namespace kumquatbank
