#include "kumquatbank/catalogue/Catalogue.h"

namespace kumquatbank {

void to_json(nlohmann::json& json, const CatalogueDelta& delta)
{
    json = { { "from", delta.from }, { "to", delta.to }, { "changes", delta.changes },
        { "removalsSince", delta.removalsSince } };
}

void from_json(const nlohmann::json& json, CatalogueDelta& delta)
{
    delta.from = json.at("from").get<std::uint64_t>();
    delta.to = json.at("to").get<std::uint64_t>();
    delta.removalsSince = json.at("removalsSince").get<std::uint64_t>();
    delta.changes = json.at("changes").get<std::vector<PlatformObject>>();
}

} // namespace kumquatbank
