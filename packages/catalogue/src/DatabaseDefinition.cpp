#include "kumquatbank/catalogue/DatabaseDefinition.h"

#include "FieldReader.h"

#include <algorithm>
#include <array>

namespace kumquatbank {

namespace {

    constexpr std::array<std::string_view, 5> knownFields { "name", "service", "connectionLimit", "slots",
        "changeId" };
    constexpr std::array<std::string_view, 3> knownSlotFields { "slot", "address", "place" };

    constexpr std::uint64_t minConnections = 3; // A prober and a watcher keep one each, statements need another.
    constexpr std::uint64_t maxConnections = 100'000;
    constexpr std::uint64_t maxSlotNumber = 99;
    constexpr std::size_t maxSlots = 9;

    Result<SlotDefinition> readSlot(const nlohmann::json& json, std::size_t index)
    {
        FieldReader reader(json, "slots[" + std::to_string(index) + "]");
        reader.rejectUnknown(knownSlotFields);
        SlotDefinition slot;
        slot.slot = static_cast<unsigned>(reader.readInteger("slot", 0, maxSlotNumber));
        const auto address = HostAddress::parse(reader.readText("address"));
        if (address)
            slot.address = *address;
        else
            reader.report("field 'address': " + address.error().message);
        slot.place = reader.readName("place");
        if (reader.hasProblem())
            return reader.failure();
        return slot;
    }

    template <typename Member>
    bool hasDuplicates(const std::vector<SlotDefinition>& slots, Member member)
    {
        for (auto it = slots.begin(); it != slots.end(); ++it) {
            if (std::ranges::find(it + 1, slots.end(), (*it).*member, member) != slots.end())
                return true;
        }
        return false;
    }

} // namespace

Result<DatabaseDefinition> DatabaseDefinition::fromJson(const nlohmann::json& json)
{
    FieldReader reader(json, "database");
    reader.rejectUnknown(knownFields);
    DatabaseDefinition database;
    database.name = reader.readName("name");
    database.service = reader.readName("service");
    database.connectionLimit
        = static_cast<unsigned>(reader.readInteger("connectionLimit", minConnections, maxConnections));
    reader.readOptionalText("changeId");
    if (reader.hasProblem())
        return reader.failure();
    const auto slots = json.find("slots");
    if (slots == json.end() || !slots->is_array() || slots->empty() || slots->size() > maxSlots)
        reader.report("field 'slots' must be a list of 1 to " + std::to_string(maxSlots) + " slots");
    if (reader.hasProblem())
        return reader.failure();
    for (const auto& value : *slots) {
        auto slot = readSlot(value, database.slots.size());
        if (!slot)
            return tl::unexpected<Failure>(slot.error());
        database.slots.push_back(std::move(*slot));
    }
    if (hasDuplicates(database.slots, &SlotDefinition::slot))
        reader.report("field 'slots' must not give two slots the same number");
    if (hasDuplicates(database.slots, &SlotDefinition::address))
        reader.report("field 'slots' must not give two slots the same address");
    if (reader.hasProblem())
        return reader.failure();
    return database;
}

void to_json(nlohmann::json& json, const DatabaseDefinition& database)
{
    auto slots = nlohmann::json::array();
    for (const auto& slot : database.slots)
        slots.push_back({ { "slot", slot.slot }, { "address", slot.address.toString() }, { "place", slot.place } });
    json = { { "name", database.name }, { "service", database.service },
        { "connectionLimit", database.connectionLimit }, { "slots", std::move(slots) } };
}

} // namespace kumquatbank
