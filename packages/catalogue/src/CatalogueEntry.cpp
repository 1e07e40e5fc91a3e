#include "kumquatbank/catalogue/CatalogueEntry.h"

#include "FieldReader.h"

#include <array>

namespace kumquatbank {

namespace {

    constexpr std::array<std::string_view, 12> knownFields { "name", "owner", "class", "rank", "service",
        "maxConcurrent", "maxPerSecond", "floorPercent", "maxQueueMs", "maxAgeMs", "repeatable", "changeId" };

    /// In the order of EntryClass.
    constexpr std::array<std::string_view, 3> classNames { "read", "write", "both" };

    constexpr std::uint64_t maxConcurrentLimit = 1'000'000;
    constexpr double maxPerSecondLimit = 10'000'000;
    constexpr double minPerSecondLimit = 0.001; // 0 would block an entry without saying so; remove it instead.
    constexpr double maxFloorPercent = 90;
    constexpr std::uint64_t maxQueueLimitMs = 600'000; // The longest deadline a caller may set.
    constexpr std::uint64_t maxAgeLimitMs = 86'400'000; // A day.
    constexpr Milliseconds defaultMaxQueue { 1000 };

} // namespace

Result<CatalogueEntry> CatalogueEntry::fromJson(const nlohmann::json& json)
{
    FieldReader reader(json, "entry");
    reader.rejectUnknown(knownFields);
    CatalogueEntry entry;
    entry.name = reader.readName("name");
    entry.owner = reader.readText("owner");
    entry.entryClass = static_cast<EntryClass>(reader.readChoice("class", classNames));
    entry.rank = static_cast<Rank>(reader.readInteger("rank", 1, rankCount));
    entry.service = reader.readName("service");
    if (const auto limit = reader.readOptionalInteger("maxConcurrent", 1, maxConcurrentLimit))
        entry.maxConcurrent = static_cast<unsigned>(*limit);
    entry.maxPerSecond = reader.readOptionalNumber("maxPerSecond", minPerSecondLimit, maxPerSecondLimit);
    entry.floorPercent = reader.readOptionalNumber("floorPercent", 0, maxFloorPercent).value_or(0);
    const auto queueMs = reader.readOptionalInteger("maxQueueMs", 0, maxQueueLimitMs);
    entry.maxQueue = queueMs ? Milliseconds(*queueMs) : defaultMaxQueue;
    if (const auto ageMs = reader.readOptionalInteger("maxAgeMs", 0, maxAgeLimitMs))
        entry.maxAge = Milliseconds(*ageMs);
    entry.isRepeatable = reader.readBool("repeatable", false);
    entry.changeId = reader.readOptionalText("changeId");
    if (entry.maxAge && entry.entryClass == EntryClass::Write)
        reader.report("field 'maxAgeMs' applies to reads and must be left out for class write");
    if (reader.hasProblem())
        return reader.failure();
    return entry;
}

bool CatalogueEntry::accepts(RequestKind kind, bool isInTransaction) const
{
    switch (entryClass) {
    case EntryClass::Read:
        return kind == RequestKind::Read && !isInTransaction;
    case EntryClass::Write:
        return kind != RequestKind::Read || isInTransaction;
    case EntryClass::Both:
        return true;
    }
    return false;
}

void to_json(nlohmann::json& json, const CatalogueEntry& entry)
{
    json = { { "name", entry.name }, { "owner", entry.owner },
        { "class", classNames[static_cast<std::size_t>(entry.entryClass)] },
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
