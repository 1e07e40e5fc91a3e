#include "kumquatbank/platform/PlatformObject.h"

namespace kumquatbank {

void to_json(nlohmann::json& json, const PlatformObject& object)
{
    json = { { "kind", object.kind }, { "name", object.name }, { "version", object.version },
        { "revision", object.revision }, { "deleted", object.isDeleted }, { "value", object.value } };
}

void from_json(const nlohmann::json& json, PlatformObject& object)
{
    // Only changes carry the kind and the mark of a removal; a listing names the kind once.
    object.kind = json.value("kind", "");
    object.name = json.at("name").get<std::string>();
    object.version = json.at("version").get<std::uint64_t>();
    object.revision = json.at("revision").get<std::uint64_t>();
    object.isDeleted = json.value("deleted", false);
    object.value = object.isDeleted ? nlohmann::json() : json.at("value");
}

} // namespace kumquatbank
