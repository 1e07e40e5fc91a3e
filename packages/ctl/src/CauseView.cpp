#include "CauseView.h"

#include "Table.h"
#include "TimeArgument.h"

#include <cstdio>
#include <utility>

namespace kumquatbank {

namespace {

    std::string formatSeconds(Milliseconds time)
    {
        char buf[32];
        std::snprintf(buf, sizeof(buf), "%.1f s", std::chrono::duration<double>(time).count());
        return buf;
    }

    bool tryAdd(CauseReport& report, const nlohmann::json& json, WallTime from, WallTime to)
    {
        try {
            report.add(json.get<CauseBatch>(), from, to);
            return true;
        } catch (const std::exception&) {
            return false;
        }
    }

    /// Names start with the hour as Unix seconds; a name of another form is read to be safe.
    bool mayOverlap(const std::string& name, WallTime from, WallTime to)
    {
        const auto seconds = std::strtoll(name.c_str(), nullptr, 10);
        const std::chrono::sys_seconds hour { std::chrono::seconds(seconds) };
        return seconds <= 0 || (hour < to && hour + std::chrono::hours(1) > from);
    }

} // namespace

std::size_t addObjects(CauseReport& report, const std::vector<PlatformObject>& objects, WallTime from, WallTime to)
{
    std::size_t unreadable = 0;
    for (const auto& object : objects) {
        if (mayOverlap(object.name, from, to) && !tryAdd(report, object.value, from, to))
            ++unreadable;
    }
    return unreadable;
}

std::size_t addProxies(CauseReport& report, const std::vector<ProxyAnswer>& answers, WallTime from, WallTime to)
{
    std::size_t missing = 0;
    for (const auto& answer : answers) {
        if (!answer.body || !tryAdd(report, *answer.body, from, to))
            ++missing;
    }
    return missing;
}

void printCauses(const CauseReport& report, std::ostream& out)
{
    const auto totals = report.totals();
    if (totals.empty()) {
        out << "No refusals or delays in this time.\n";
        return;
    }
    Table table({ "TIME LOST", "REFUSED", "DELAYED", "RANK", "ENTRY", "OWNER", "DATABASE", "PLACE", "CAUSE", "FIRST",
        "LAST" });
    Milliseconds lost { 0 };
    for (const auto& total : totals) {
        lost += total.lost;
        table.add({ formatSeconds(total.lost), std::to_string(total.refused), std::to_string(total.delayed),
            std::to_string(static_cast<int>(total.key.rank)), total.key.entry, total.key.owner, total.key.database,
            total.key.place, std::string(causeName(total.key.cause)), formatMinute(total.firstMinute),
            formatMinute(total.lastMinute) });
    }
    table.print(out);
    out << "Total time lost: " << formatSeconds(lost) << ", from " << report.processCount() << " process runs.\n";
    if (report.omittedCount() > 0)
        out << report.omittedCount() << " rows with the least lost time were left out by their processes.\n";
}

} // namespace kumquatbank
