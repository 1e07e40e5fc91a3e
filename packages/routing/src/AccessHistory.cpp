#include "kumquatbank/routing/AccessHistory.h"

#include <algorithm>

namespace kumquatbank {

namespace {

    /// The removal of a route does not withdraw an access: open transactions on it go on.
    bool allows(const RoutingConfig& config, const ClientGrant& grant)
    {
        static const Route removed = [] {
            Route route;
            route.isPublic = true;
            return route;
        }();
        const auto* route = config.findRoute(grant.database);
        const auto identity = config.identify(route == nullptr ? removed : *route, grant.key);
        return identity.isAllowed && identity.accountName() == grant.account;
    }

} // namespace

void AccessHistory::add(std::shared_ptr<const RoutingConfig> config, BootTime activeSince)
{
    m_versions.push_back({ std::move(config), activeSince });
    // The oldest version kept is the one that was in force a grace period ago.
    while (m_versions.size() > 1 && m_versions[1].activeSince + transactionGrace <= activeSince)
        m_versions.pop_front();
    if (m_versions.size() > maxVersions) {
        m_versions[2].activeSince = m_versions[1].activeSince;
        m_versions.erase(m_versions.begin() + 1);
    }
}

std::optional<BootTime> AccessHistory::withdrawnSince(const ClientGrant& grant) const
{
    std::optional<BootTime> since;
    for (auto it = m_versions.rbegin(); it != m_versions.rend() && !allows(*it->config, grant); ++it)
        since = it->activeSince;
    return since;
}

bool AccessHistory::mayContinue(const ClientGrant& grant, BootTime now) const
{
    const auto since = withdrawnSince(grant);
    return !since || now < *since + transactionGrace;
}

} // namespace kumquatbank
