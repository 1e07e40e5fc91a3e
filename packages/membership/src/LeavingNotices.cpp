#include "LeavingNotices.h"

#include "RowCodec.h"

namespace kumquatbank {

void LeavingNotices::update(std::uint64_t revision, std::set<HostAddress> endpoints)
{
    const std::lock_guard lock(m_mutex);
    if (revision <= m_revision || endpoints == m_endpoints)
        return;
    m_revision = revision;
    m_endpoints = std::move(endpoints);
}

bool LeavingNotices::contains(const HostAddress& endpoint) const
{
    const std::lock_guard lock(m_mutex);
    return m_endpoints.contains(endpoint);
}

std::uint64_t LeavingNotices::revision() const
{
    const std::lock_guard lock(m_mutex);
    return m_revision;
}

std::size_t LeavingNotices::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_endpoints.size();
}

nlohmann::json LeavingNotices::pack() const
{
    const std::lock_guard lock(m_mutex);
    const std::vector<HostAddress> endpoints(m_endpoints.begin(), m_endpoints.end());
    return { { "revision", m_revision }, { "endpoints", packAddresses(endpoints) } };
}

void LeavingNotices::merge(const nlohmann::json& packed)
{
    const auto revision = packed.at("revision").get<std::uint64_t>();
    const std::vector<HostAddress> endpoints = unpackAddresses(packed.at("endpoints"));
    const std::lock_guard lock(m_mutex);
    if (revision <= m_revision)
        return;
    m_revision = revision;
    m_endpoints = { endpoints.begin(), endpoints.end() };
}

} // namespace kumquatbank
