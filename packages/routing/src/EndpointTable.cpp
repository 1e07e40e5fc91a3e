#include "kumquatbank/routing/EndpointTable.h"

#include <algorithm>
#include <tuple>

namespace kumquatbank {

namespace {

    /// An endpoint counts its entries anew after each start.
    bool isOlder(const EndpointEntry& entry, const EndpointEntry& known)
    {
        return std::tie(entry.startedAtMs, entry.sequence) < std::tie(known.startedAtMs, known.sequence);
    }

} // namespace

std::vector<std::string> EndpointTable::replace(Entries listed, std::uint64_t era, BootTime now)
{
    const bool isRestored = m_era != 0 && era > m_era;
    m_era = std::max(m_era, era);
    m_confirmAt.reset();
    std::vector<std::string> held;
    if (isRestored) {
        for (const auto& [id, entry] : listed) {
            if (isSuperseded(entry))
                held.push_back(id);
        }
        if (!held.empty())
            m_confirmAt = now + confirmationTime;
    }
    for (const auto& id : held) {
        const auto known = m_entries.find(id);
        if (known == m_entries.end())
            listed.erase(id);
        else
            listed.insert_or_assign(id, known->second);
    }
    for (const auto& [id, entry] : m_entries) {
        // A copy may be from before the endpoint's registration, so absence from it is no removal.
        if (!isRestored && !listed.contains(id))
            rememberRemoval(entry, now);
    }
    m_entries = std::move(listed);
    return held;
}

void EndpointTable::set(EndpointEntry entry)
{
    m_removed.erase(entry.id);
    auto id = entry.id;
    m_entries.insert_or_assign(std::move(id), std::move(entry));
}

void EndpointTable::remove(const std::string& id, BootTime now)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end())
        return;
    rememberRemoval(it->second, now);
    m_entries.erase(it);
}

bool EndpointTable::isSuperseded(const EndpointEntry& entry) const
{
    if (const auto it = m_entries.find(entry.id); it != m_entries.end())
        return isOlder(entry, it->second);
    const auto it = m_removed.find(entry.id);
    return it != m_removed.end() && !isOlder(it->second.entry, entry);
}

void EndpointTable::rememberRemoval(const EndpointEntry& entry, BootTime now)
{
    std::erase_if(m_removed, [now](const auto& item) { return now - item.second.at >= removedRetention; });
    m_removed.insert_or_assign(entry.id, Removal { entry, now });
}

} // namespace kumquatbank
