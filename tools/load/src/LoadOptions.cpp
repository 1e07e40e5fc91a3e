#include "LoadOptions.h"

#include <algorithm>
#include <array>
#include <sstream>
#include <stdexcept>

namespace kumquatbank::load {

namespace {

    // A caller is a thread; more of them would measure this program instead of the proxies.
    constexpr unsigned maxCallers = 1000;

    constexpr std::array<std::string_view, 9> knownFields { "entry", "rank", "kind", "callers", "rate", "deadlineMs",
        "serviceMs", "checkSession", "databases" };

    WorkKind parseKind(const std::string& name)
    {
        if (name == "read")
            return WorkKind::Read;
        if (name == "write")
            return WorkKind::Write;
        if (name == "transaction")
            return WorkKind::Transaction;
        throw std::invalid_argument("mix: kind '" + name + "' is not read, write or transaction");
    }

    void checkFields(const nlohmann::json& json)
    {
        for (const auto& [field, value] : json.items()) {
            if (std::ranges::find(knownFields, field) == knownFields.end())
                throw std::invalid_argument("mix: unknown field '" + field + "'");
        }
    }

} // namespace

void from_json(const nlohmann::json& json, MixItem& item)
{
    checkFields(json);
    item.entry = json.at("entry").get<std::string>();
    const auto rank = json.at("rank").get<int>();
    if (rank < 1 || rank > static_cast<int>(rankCount))
        throw std::invalid_argument("mix: rank must be 1 to " + std::to_string(rankCount));
    item.rank = static_cast<Rank>(rank);
    item.kind = parseKind(json.at("kind").get<std::string>());
    const auto callers = json.at("callers").get<int>();
    if (callers < 1 || callers > static_cast<int>(maxCallers))
        throw std::invalid_argument("mix: callers must be 1 to " + std::to_string(maxCallers));
    item.callers = static_cast<unsigned>(callers);
    item.ratePerSecond = json.value("rate", 0.0);
    item.deadline = Milliseconds(json.value("deadlineMs", 2000));
    item.service = Milliseconds(json.value("serviceMs", 0));
    if (item.ratePerSecond < 0 || item.deadline.count() <= 0 || item.service.count() < 0)
        throw std::invalid_argument("mix: rate and serviceMs must not be negative, deadlineMs must be positive");
    item.checksSession = json.value("checkSession", true);
    item.databases = json.value("databases", std::vector<std::string> {});
}

Result<DatabaseTarget> DatabaseTarget::parse(const std::string& text)
{
    const auto equals = text.find('=');
    if (equals == std::string::npos || equals == 0)
        return notRun(FailureCode::BadRequest, "'" + text + "' is not of the form name=ip:port|ip:port");
    DatabaseTarget target { text.substr(0, equals), {} };
    std::istringstream controls(text.substr(equals + 1));
    for (std::string control; std::getline(controls, control, '|');) {
        auto address = HostAddress::parse(control);
        if (!address)
            return tl::unexpected(address.error());
        target.controls.push_back(std::move(*address));
    }
    if (target.controls.empty())
        return notRun(FailureCode::BadRequest, "database '" + target.name + "' has no control port");
    return target;
}

std::string LoadOptions::entryName(const MixItem& item, std::size_t database) const
{
    constexpr std::string_view placeholder = "{service}";
    auto name = item.entry;
    if (const auto n = name.find(placeholder); n != std::string::npos)
        name.replace(n, placeholder.size(), databases.at(database).service());
    return name;
}

std::vector<std::size_t> LoadOptions::databasesOf(const MixItem& item) const
{
    std::vector<std::size_t> indices;
    for (std::size_t n = 0; n < databases.size(); ++n) {
        if (item.databases.empty() || std::ranges::find(item.databases, databases[n].name) != item.databases.end())
            indices.push_back(n);
    }
    if (!item.databases.empty() && indices.size() != item.databases.size())
        throw std::invalid_argument("mix: entry '" + item.entry + "' names a database that is not given or is repeated");
    return indices;
}

} // namespace kumquatbank::load
