#include "kumquatbank/duties/HostLiveness.h"

namespace kumquatbank {

using std::chrono::milliseconds;

void HostLiveness::record(const std::string& host, HostRenewal renewal, BootTime now)
{
    const auto [it, isNew] = m_hosts.try_emplace(host, Observation { renewal, now, now });
    auto& observed = it->second;
    observed.listedAt = now;
    const bool isNewer = renewal.incarnation != observed.renewal.incarnation || renewal.count > observed.renewal.count;
    if (isNew || !isNewer)
        return;
    observed.renewal = renewal;
    observed.renewedAt = now;
}

bool HostLiveness::hasExpired(const std::string& host, BootTime now, milliseconds expiry) const { return m_hosts.contains(host) && sinceRenewal(host, now) >= expiry; }

milliseconds HostLiveness::sinceRenewal(const std::string& host, BootTime now) const
{
    const auto it = m_hosts.find(host);
    return it == m_hosts.end() ? milliseconds(0) : std::chrono::duration_cast<milliseconds>(now - it->second.renewedAt);
}

void HostLiveness::forgetUnlisted(BootTime now, milliseconds retention)
{
    std::erase_if(m_hosts, [&](const auto& item) { return now - item.second.listedAt >= retention; });
}

} // namespace kumquatbank
