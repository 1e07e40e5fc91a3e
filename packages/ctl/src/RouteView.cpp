#include "RouteView.h"

#include "Table.h"

namespace kumquatbank {

namespace {

    /// The field as text; "-" if it is missing or null.
    std::string text(const nlohmann::json& object, const char* field)
    {
        const auto it = object.find(field);
        if (it == object.end() || it->is_null())
            return "-";
        return it->is_string() ? it->get<std::string>() : it->dump();
    }

} // namespace

void printRoute(const nlohmann::json& explained, std::ostream& out)
{
    out << "outcome: " << text(explained, "outcome") << '\n';
    for (const auto* field : { "reason", "configVersion", "account", "position", "positionNote", "waiting", "expectedWaitMs", "lenders" }) {
        if (explained.contains(field))
            out << field << ": " << text(explained, field) << '\n';
    }
    const auto route = explained.value("route", nlohmann::json::object());
    for (const auto& [name, value] : route.items())
        out << "route " << name << ": " << (value.is_string() ? value.get<std::string>() : value.dump()) << '\n';
    const auto candidates = explained.value("candidates", nlohmann::json::array());
    if (candidates.empty())
        return;
    Table table({ "endpoint", "chosen", "primary", "in use", "limit", "answer us", "opening us", "reason" });
    for (const auto& candidate : candidates)
        table.add({ text(candidate, "endpoint"), text(candidate, "chosen"), text(candidate, "primary"), text(candidate, "inUse"), text(candidate, "limit"), text(candidate, "answerUs"), text(candidate, "openingUs"), text(candidate, "reason") });
    table.print(out);
}

} // namespace kumquatbank
