#include "kumquatbank/causes/CauseObject.h"

namespace kumquatbank {

void to_json(nlohmann::json& json, const CauseSource& source)
{
    json = { { "run", source.run }, { "rows", source.rows } };
}

void from_json(const nlohmann::json& json, CauseSource& source)
{
    json.at("run").get_to(source.run);
    json.at("rows").get_to(source.rows);
}

std::string causeRun(const HostIdentity& identity)
{
    return identity.address.toString() + "-" + std::to_string(identity.incarnation);
}

std::string causesKind(CauseHour hour)
{
    return "causes-" + std::to_string(std::chrono::seconds(hour.time_since_epoch()).count());
}

std::vector<CauseHour> hoursBetween(WallTime from, WallTime to)
{
    std::vector<CauseHour> hours;
    for (auto hour = std::chrono::floor<std::chrono::hours>(from); hour < to; hour += std::chrono::hours(1))
        hours.push_back(hour);
    return hours;
}

} // namespace kumquatbank
