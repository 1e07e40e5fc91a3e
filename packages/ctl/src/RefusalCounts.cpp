#include "RefusalCounts.h"

#include <algorithm>
#include <vector>

namespace kumquatbank {

namespace {

    std::string text(const nlohmann::json& fields, const char* name)
    {
        const auto it = fields.find(name);
        return it != fields.end() && it->is_string() ? it->get<std::string>() : "";
    }

} // namespace

void RefusalCounts::add(const std::string& host, std::int64_t atMs, const nlohmann::json& fields)
{
    auto& count = m_counts[{ host, text(fields, "outcome"), text(fields, "reason") }];
    count.firstMs = count.requests == 0 ? atMs : std::min(count.firstMs, atMs);
    if (++count.requests == 1 || atMs >= count.lastMs) {
        count.lastMs = atMs;
        count.lastRequest = text(fields, "request");
    }
}

void RefusalCounts::print(std::ostream& out) const
{
    std::vector<std::pair<std::tuple<std::string, std::string, std::string>, Count>> sorted(m_counts.begin(), m_counts.end());
    std::ranges::stable_sort(sorted, std::greater {}, [](const auto& item) { return item.second.requests; });
    for (const auto& [key, count] : sorted) {
        const auto& [host, outcome, reason] = key;
        out << count.requests << ' ' << (host.empty() ? "(host unknown)" : host) << " outcome=" << outcome << " reason=\"" << reason << "\" from " << count.firstMs << " to " << count.lastMs << ", newest request " << count.lastRequest << '\n';
    }
}

} // namespace kumquatbank
