#include "kumquatbank/causes/CauseBatch.h"

#include <algorithm>
#include <map>
#include <stdexcept>
#include <utility>

namespace kumquatbank {

void to_json(nlohmann::json& json, const CauseBatch& batch)
{
    json = batch.process;
    json["rows"] = batch.rows;
    json["omitted"] = batch.omitted;
}

void from_json(const nlohmann::json& json, CauseBatch& batch)
{
    const auto host = HostAddress::parse(json.at("host").get<std::string>());
    if (!host)
        throw std::invalid_argument(host.error().message);
    batch.process = { *host, json.at("incarnation").get<std::uint64_t>(), json.value("place", "") };
    batch.rows = json.at("rows").get<std::vector<CauseRow>>();
    batch.omitted = json.value("omitted", std::size_t { 0 });
}

std::string causeObjectName(std::chrono::sys_seconds hour, const HostIdentity& process)
{
    return std::to_string(hour.time_since_epoch().count()) + "-" + process.address.toString() + "-"
        + std::to_string(process.incarnation);
}

std::vector<CauseRow> mergeCopies(const std::vector<CauseRow>& first, const std::vector<CauseRow>& second)
{
    std::map<std::pair<std::chrono::sys_seconds, CauseKey>, CauseRow> merged;
    for (const auto* rows : { &first, &second }) {
        for (const auto& row : *rows) {
            CauseRow& kept = merged.try_emplace({ row.minute, row.key }, row).first->second;
            kept.refused = std::max(kept.refused, row.refused);
            kept.delayed = std::max(kept.delayed, row.delayed);
            kept.lost = std::max(kept.lost, row.lost);
        }
    }
    std::vector<CauseRow> result;
    result.reserve(merged.size());
    for (auto& [key, row] : merged)
        result.push_back(std::move(row));
    return result;
}

} // namespace kumquatbank
