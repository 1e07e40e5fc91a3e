#include "RefusalLog.h"

#include "kumquatbank/engine/EventLog.h"
#include "kumquatbank/engine/MemoryBudget.h"

namespace kumquatbank {

namespace {

    constexpr std::chrono::milliseconds lineInterval { 1000 };

} // namespace

void RefusalLog::record(std::string_view reason)
{
    auto it = m_entries.find(reason);
    if (it == m_entries.end())
        it = m_entries.emplace(reason, Entry {}).first;
    ++it->second.count;
}

void RefusalLog::writeDue(BootTime now)
{
    for (auto& [reason, entry] : m_entries) {
        if (entry.count == 0 || now - entry.loggedAt < lineInterval)
            continue;
        const auto& budget = MemoryBudget::ofProcess();
        EventLog::warn("clients_refused", { { "reason", reason }, { "count", entry.count }, { "memory_held", budget.used() }, { "memory_budget", budget.total() } });
        entry = { 0, now };
    }
}

} // namespace kumquatbank
