#include "ServiceIndex.h"

#include <set>

namespace kumquatbank {

ServiceIndex::ServiceIndex(const Catalogue& catalogue)
    : m_catalogue(catalogue)
{
}

ServiceIndex::Position ServiceIndex::find(const std::string& database)
{
    const std::lock_guard lock(m_mutex);
    if (m_revision != m_catalogue.revision())
        rebuild();
    const auto it = m_positions.find(database);
    return it == m_positions.end() ? Position {} : it->second;
}

void ServiceIndex::rebuild()
{
    m_revision = m_catalogue.revision();
    std::map<std::string, std::set<std::string>> services;
    for (const auto& it : m_catalogue.databases())
        services[it->service].insert(it->name);
    m_positions.clear();
    for (const auto& [service, names] : services) {
        std::size_t index = 0;
        for (const auto& name : names)
            m_positions[name] = { index++, names.size() };
    }
}

} // namespace kumquatbank
