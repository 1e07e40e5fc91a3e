#include "Fields.h"

#include "CommandFailure.h"

#include <set>

namespace kumquatbank {

void applySettings(nlohmann::json& object, const std::vector<std::string>& settings)
{
    for (const auto& setting : settings) {
        const auto equals = setting.find('=');
        if (equals == 0 || equals == std::string::npos)
            throw CommandFailure(ExitCode::Usage, "'" + setting + "' is not of the form field=value");
        const auto field = setting.substr(0, equals);
        const auto text = setting.substr(equals + 1);
        auto value = nlohmann::json::parse(text, nullptr, false);
        if (value.is_null())
            object.erase(field);
        else if (value.is_discarded())
            object[field] = text;
        else
            object[field] = std::move(value);
    }
}

std::string describeDifference(const nlohmann::json& before, const nlohmann::json& after)
{
    std::set<std::string> fields;
    for (const auto* object : { &before, &after }) {
        if (!object->is_object())
            continue;
        for (const auto& [field, value] : object->items())
            fields.insert(field);
    }
    fields.erase("changeId");
    const auto valueOf = [](const nlohmann::json& object, const std::string& field) {
        return object.is_object() && object.contains(field) ? object.at(field).dump() : std::string("(none)");
    };
    std::string lines;
    for (const auto& field : fields) {
        const auto old = valueOf(before, field);
        const auto current = valueOf(after, field);
        if (old != current)
            lines += "  " + field + ": " + old + " -> " + current + "\n";
    }
    return lines;
}

} // namespace kumquatbank
