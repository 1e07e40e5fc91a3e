#include "kumquatbank/core/LogPosition.h"

#include <nlohmann/json.hpp>

namespace kumquatbank {

void to_json(nlohmann::json& json, const LogPosition& position)
{
    json = nlohmann::json::array({ position.term, position.position });
}

void from_json(const nlohmann::json& json, LogPosition& position)
{
    position.term = json.at(0).get<Term>();
    position.position = json.at(1).get<std::uint64_t>();
}

} // namespace kumquatbank
