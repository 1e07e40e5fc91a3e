#include "FleetView.h"

#include "Table.h"

#include <algorithm>
#include <map>

namespace kumquatbank {

namespace {

    /// Text of any JSON value; "-" when it is missing.
    std::string textOf(const nlohmann::json& object, const char* field)
    {
        const auto it = object.find(field);
        if (it == object.end() || it->is_null())
            return "-";
        if (it->is_boolean())
            return it->get<bool>() ? "yes" : "no";
        const auto text = it->is_string() ? it->get<std::string>() : it->dump();
        return text.empty() ? "-" : text;
    }

    const nlohmann::json& arrayOf(const nlohmann::json& object, const char* field)
    {
        static const nlohmann::json empty = nlohmann::json::array();
        const auto it = object.find(field);
        return it != object.end() && it->is_array() ? *it : empty;
    }

    std::string stateOf(const nlohmann::json& endpoint)
    {
        if (!endpoint.value("isReachable", false))
            return "unreachable";
        const std::string role = endpoint.value("isPrimary", false) ? "primary" : "replica";
        return endpoint.value("isLeaving", false) ? role + ", leaving" : role;
    }

} // namespace

void printStates(const std::vector<ProxyAnswer>& states, std::ostream& out)
{
    Table table({ "PROXY", "PLACE", "CATALOGUE", "ALIVE", "OTHER", "HOLDS", "NOTE" });
    for (const auto& state : states) {
        if (!state.body) {
            table.add({ state.target.name(), "-", "-", "-", "-", "-", "no answer: " + state.body.error().message });
            continue;
        }
        const auto& members = arrayOf(*state.body, "members");
        const auto alive = std::ranges::count_if(members, [](const auto& it) { return it.value("state", "") == "alive"; });
        const auto held = std::ranges::count_if(
            arrayOf(*state.body, "groups"), [](const auto& it) { return it.value("isHolder", false); });
        table.add({ textOf(*state.body, "host"), textOf(*state.body, "place"), textOf(*state.body, "catalogueRevision"),
            std::to_string(alive), std::to_string(static_cast<std::ptrdiff_t>(members.size()) - alive),
            std::to_string(held), "" });
    }
    table.print(out);
}

std::vector<nlohmann::json> mergeGroups(const std::vector<ProxyAnswer>& states)
{
    std::map<std::string, nlohmann::json> byDatabase;
    const auto weight = [](const nlohmann::json& group) {
        return std::pair(group.value("isHolder", false), group.value("claim", std::uint64_t { 0 }));
    };
    for (const auto& state : states) {
        if (!state.body)
            continue;
        for (const auto& group : arrayOf(*state.body, "groups")) {
            auto& kept = byDatabase[group.value("database", "")];
            if (kept.is_null() || weight(group) > weight(kept))
                kept = group;
        }
    }
    std::vector<nlohmann::json> groups;
    for (auto& [database, group] : byDatabase)
        groups.push_back(std::move(group));
    return groups;
}

void printGroups(const std::vector<nlohmann::json>& groups, std::ostream& out)
{
    Table table({ "DATABASE", "HOLDER", "CLAIM", "TERM", "MAY PROMOTE", "SLOT", "ADDRESS", "PLACE", "STATE",
        "POSITION", "LAG MS" });
    for (const auto& group : groups) {
        const auto holder = group.value("isHolder", false) ? textOf(group, "holder") : std::string("none known");
        const Table::Row start { textOf(group, "database"), holder, textOf(group, "claim"), textOf(group, "term"),
            textOf(group, "mayPromote") };
        const auto& endpoints = arrayOf(group, "endpoints");
        for (const auto& endpoint : endpoints) {
            auto row = start;
            row.insert(row.end(),
                { textOf(endpoint, "slot"), textOf(endpoint, "address"), textOf(endpoint, "place"), stateOf(endpoint),
                    textOf(endpoint, "term") + "/" + textOf(endpoint, "position"), textOf(endpoint, "lagMs") });
            table.add(std::move(row));
        }
        if (endpoints.empty()) {
            auto row = start;
            row.resize(11, "-");
            table.add(std::move(row));
        }
    }
    table.print(out);
}

} // namespace kumquatbank
