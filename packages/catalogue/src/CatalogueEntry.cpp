#include "kumquatbank/catalogue/CatalogueEntry.h"

#include "FieldChecker.h"

#include <algorithm>
#include <array>
#include <utility>

namespace kumquatbank {

namespace {

    using ClassName = std::pair<EntryClass, std::string_view>;

    constexpr std::array<ClassName, 3> classNames { {
        { EntryClass::Read, "read" },
        { EntryClass::Write, "write" },
        { EntryClass::Both, "both" },
    } };

    constexpr std::int64_t maxConcurrentLimit = 1'000'000;
    constexpr double minRateLimit = 0.01;
    constexpr double maxRateLimit = 10'000'000;
    constexpr double maxFloorPercent = 90;
    constexpr std::int64_t maxQueueLimitMs = 600'000;
    constexpr std::int64_t maxAgeLimitMs = 86'400'000;

    const std::vector<std::string>& knownFields()
    {
        static const std::vector<std::string> fields { "name", "owner", "class", "rank", "service", "maxConcurrent",
            "maxPerSecond", "floorPercent", "maxQueueMs", "maxAgeMs", "repeatable", "changeId" };
        return fields;
    }

    EntryClass readClass(FieldChecker& fields)
    {
        const auto name = fields.readName("class");
        const auto it = std::ranges::find(classNames, name, &ClassName::second);
        if (it == classNames.end()) {
            fields.report("class", "read, write or both");
            return EntryClass::Read;
        }
        return it->first;
    }

    Rank readRank(FieldChecker& fields)
    {
        const auto rank = fields.readWhole("rank", 1, static_cast<std::int64_t>(rankCount));
        if (!rank)
            fields.report("rank", "1, 2 or 3");
        return static_cast<Rank>(rank.value_or(static_cast<std::int64_t>(Rank::Background)));
    }

} // namespace

Result<CatalogueEntry> CatalogueEntry::fromJson(const nlohmann::json& json)
{
    FieldChecker fields(json, "catalogue entry");
    fields.checkFields(knownFields());
    CatalogueEntry entry;
    entry.name = fields.readName("name");
    entry.owner = fields.readName("owner");
    entry.entryClass = readClass(fields);
    entry.rank = readRank(fields);
    entry.service = fields.readName("service");
    if (const auto limit = fields.readWhole("maxConcurrent", 1, maxConcurrentLimit))
        entry.maxConcurrent = static_cast<unsigned>(*limit);
    entry.maxPerSecond = fields.readNumber("maxPerSecond", minRateLimit, maxRateLimit);
    entry.floorPercent = fields.readNumber("floorPercent", 0, maxFloorPercent).value_or(entry.floorPercent);
    entry.maxQueue = Milliseconds(fields.readWhole("maxQueueMs", 0, maxQueueLimitMs).value_or(entry.maxQueue.count()));
    if (const auto age = fields.readWhole("maxAgeMs", 1, maxAgeLimitMs))
        entry.maxAge = Milliseconds(*age);
    entry.isRepeatable = fields.readFlag("repeatable", entry.isRepeatable);
    entry.changeId = fields.readOptionalText("changeId");
    if (const auto checked = fields.checked(); !checked)
        return tl::unexpected(checked.error());
    return entry;
}

bool CatalogueEntry::accepts(RequestKind kind, bool isInTransaction) const
{
    if (kind == RequestKind::Read)
        return entryClass != EntryClass::Write || isInTransaction;
    return entryClass != EntryClass::Read;
}

void to_json(nlohmann::json& json, const CatalogueEntry& entry)
{
    const auto it = std::ranges::find(classNames, entry.entryClass, &ClassName::first);
    json = { { "name", entry.name }, { "owner", entry.owner }, { "class", it->second },
        { "rank", static_cast<int>(entry.rank) }, { "service", entry.service },
        { "floorPercent", entry.floorPercent }, { "maxQueueMs", entry.maxQueue.count() },
        { "repeatable", entry.isRepeatable }, { "changeId", entry.changeId } };
    if (entry.maxConcurrent)
        json["maxConcurrent"] = *entry.maxConcurrent;
    if (entry.maxPerSecond)
        json["maxPerSecond"] = *entry.maxPerSecond;
    if (entry.maxAge)
        json["maxAgeMs"] = entry.maxAge->count();
}

} // namespace kumquatbank
