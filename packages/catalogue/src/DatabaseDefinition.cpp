#include "kumquatbank/catalogue/DatabaseDefinition.h"

#include "FieldChecker.h"

#include <algorithm>
#include <set>

namespace kumquatbank {

namespace {

    // One prober, one watcher and one spare connection leave at least one for work.
    constexpr std::int64_t minConnectionLimit = 4;
    constexpr std::int64_t maxConnectionLimit = 10'000;
    constexpr std::int64_t maxSlots = 9;

    Result<SlotDefinition> readSlot(const nlohmann::json& json)
    {
        FieldChecker fields(json, "slot");
        fields.checkFields({ "slot", "address", "place" });
        const auto slot = fields.readWhole("slot", 0, maxSlots - 1);
        if (!slot)
            fields.report("slot", "a whole number from 0 to 8");
        const auto address = HostAddress::parse(fields.readOptionalText("address"));
        if (!address || address->port == 0)
            fields.report("address", "an address of the form ip:port");
        auto place = fields.readName("place");
        if (const auto checked = fields.checked(); !checked)
            return tl::unexpected(checked.error());
        return SlotDefinition { static_cast<unsigned>(*slot), *address, std::move(place) };
    }

} // namespace

Result<DatabaseDefinition> DatabaseDefinition::fromJson(const nlohmann::json& json)
{
    FieldChecker fields(json, "database");
    fields.checkFields({ "name", "service", "connectionLimit", "slots", "changeId" });
    DatabaseDefinition database;
    database.name = fields.readName("name");
    database.service = fields.readName("service");
    const auto limit = fields.readWhole("connectionLimit", minConnectionLimit, maxConnectionLimit);
    if (!limit)
        fields.report("connectionLimit", "a whole number from 4 to 10000");
    database.connectionLimit = static_cast<unsigned>(limit.value_or(0));
    fields.readOptionalText("changeId");
    const auto hasSlots = json.is_object() && json.contains("slots") && json.at("slots").is_array()
        && !json.at("slots").empty() && json.at("slots").size() <= static_cast<std::size_t>(maxSlots);
    if (!hasSlots)
        fields.report("slots", "a list of 1 to 9 slots");
    if (const auto checked = fields.checked(); !checked)
        return tl::unexpected(checked.error());

    std::set<unsigned> numbers;
    std::set<HostAddress> addresses;
    for (const auto& it : json.at("slots")) {
        auto slot = readSlot(it);
        if (!slot)
            return tl::unexpected(slot.error());
        if (!numbers.insert(slot->slot).second || !addresses.insert(slot->address).second)
            return notRun(FailureCode::BadRequest,
                "database: field 'slots': slot numbers and addresses must differ from each other", Cause::BadRequest);
        database.slots.push_back(std::move(*slot));
    }
    return database;
}

void to_json(nlohmann::json& json, const DatabaseDefinition& database)
{
    json = { { "name", database.name }, { "service", database.service },
        { "connectionLimit", database.connectionLimit }, { "slots", nlohmann::json::array() } };
    for (const auto& it : database.slots)
        json["slots"].push_back(
            { { "slot", it.slot }, { "address", it.address.toString() }, { "place", it.place } });
}

} // namespace kumquatbank
