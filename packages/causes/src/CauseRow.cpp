#include "kumquatbank/causes/CauseRow.h"

namespace kumquatbank {

void to_json(nlohmann::json& json, const CauseRow& row)
{
    json = { { "minute", row.minute.time_since_epoch().count() }, { "entry", row.key.entry },
        { "owner", row.key.owner }, { "rank", static_cast<int>(row.key.rank) }, { "database", row.key.database },
        { "place", row.key.place }, { "cause", causeName(row.key.cause) }, { "refused", row.refused },
        { "delayed", row.delayed }, { "lostMs", row.lost.count() } };
}

void from_json(const nlohmann::json& json, CauseRow& row)
{
    row.minute = std::chrono::sys_seconds(std::chrono::seconds(json.at("minute").get<std::int64_t>()));
    json.at("entry").get_to(row.key.entry);
    json.at("owner").get_to(row.key.owner);
    row.key.rank = static_cast<Rank>(json.at("rank").get<int>());
    json.at("database").get_to(row.key.database);
    json.at("place").get_to(row.key.place);
    row.key.cause = parseCause(json.at("cause").get<std::string>()).value_or(Cause::None);
    json.at("refused").get_to(row.refused);
    json.at("delayed").get_to(row.delayed);
    row.lost = Milliseconds(json.at("lostMs").get<Milliseconds::rep>());
}

} // namespace kumquatbank
