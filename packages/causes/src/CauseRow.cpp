#include "kumquatbank/causes/CauseRow.h"

#include <stdexcept>

namespace kumquatbank {

void to_json(nlohmann::json& json, const CauseRow& row)
{
    json = { { "entry", row.key.entry }, { "owner", row.key.owner }, { "rank", static_cast<int>(row.key.rank) },
        { "database", row.key.database }, { "place", row.key.place }, { "cause", causeName(row.key.cause) },
        { "minute", row.minute.time_since_epoch().count() }, { "refused", row.refused }, { "delayed", row.delayed },
        { "lostMs", row.lost.count() } };
}

void from_json(const nlohmann::json& json, CauseRow& row)
{
    row.key.entry = json.at("entry").get<std::string>();
    row.key.owner = json.at("owner").get<std::string>();
    const int rank = json.at("rank").get<int>();
    if (rank < 1 || rank > static_cast<int>(rankCount))
        throw std::invalid_argument("field 'rank' must be 1 to 3");
    row.key.rank = static_cast<Rank>(rank);
    row.key.database = json.at("database").get<std::string>();
    row.key.place = json.at("place").get<std::string>();
    const auto cause = parseCause(json.at("cause").get<std::string>());
    if (!cause)
        throw std::invalid_argument("field 'cause' is unknown");
    row.key.cause = *cause;
    row.minute = std::chrono::sys_seconds(std::chrono::seconds(json.at("minute").get<std::int64_t>()));
    row.refused = json.at("refused").get<std::uint64_t>();
    row.delayed = json.at("delayed").get<std::uint64_t>();
    row.lost = Milliseconds(json.at("lostMs").get<Milliseconds::rep>());
}

} // namespace kumquatbank
