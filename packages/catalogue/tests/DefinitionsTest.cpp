#include "kumquatbank/catalogue/catalogue.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;
using nlohmann::json;

namespace {

json entryJson()
{
    return { { "name", "zapisnik-save" }, { "owner", "transcripts" }, { "class", "write" }, { "rank", 1 },
        { "service", "zapisnik-1" }, { "maxConcurrent", 40 }, { "maxPerSecond", 12.5 }, { "floorPercent", 30 },
        { "maxQueueMs", 250 }, { "repeatable", true }, { "changeId", "c1" } };
}

json databaseJson()
{
    json slots = json::array();
    for (int n = 0; n < 3; ++n)
        slots.push_back({ { "slot", n }, { "address", "127.0.0.1:" + std::to_string(7000 + n) }, { "place", "kp" } });
    return { { "name", "zapisnik-1-a" }, { "service", "zapisnik-1" }, { "connectionLimit", 20 }, { "slots", slots } };
}

/// Checks that @p json is refused with a message that names @p field.
template <typename Item>
void checkRefused(const json& json, const std::string& field)
{
    const auto item = Item::fromJson(json);
    CHECK_FALSE(item.has_value());
    CHECK_TRUE(item.error().verdict == Verdict::NotRun);
    CHECK_TRUE(item.error().code == FailureCode::BadRequest);
    STRCMP_CONTAINS(field.c_str(), item.error().message.c_str());
}

} // namespace

TEST_GROUP(Definitions) {};

// Guards against a field lost or changed between the operator's tool and the processes.
TEST(Definitions, KeepAllFields)
{
    const auto entry = CatalogueEntry::fromJson(entryJson());
    CHECK_TRUE(entry.has_value());
    CHECK_TRUE(json(*entry) == entryJson());
    CHECK_TRUE(entry->maxQueue == Milliseconds(250));
    CHECK_FALSE(entry->maxAge.has_value());
    const auto database = DatabaseDefinition::fromJson(databaseJson());
    CHECK_TRUE(database.has_value());
    CHECK_TRUE(json(*database) == databaseJson());
    CHECK_EQUAL(2, database->majority());
}

// Guards against an operator's mistake being accepted, or refused without naming what to correct.
TEST(Definitions, NameTheWrongField)
{
    const std::vector<std::pair<std::string, json>> wrongEntries { { "name", "a/b" }, { "name", "" }, { "owner", 3 },
        { "class", "all" }, { "rank", 0 }, { "rank", 4 }, { "rank", "1" }, { "service", nullptr },
        { "maxConcurrent", 0 }, { "maxConcurrent", 2.5 }, { "maxPerSecond", -1 }, { "floorPercent", 91 },
        { "maxQueueMs", -5 }, { "maxAgeMs", 100 }, { "repeatable", "yes" }, { "maxConcurent", 4 } };
    for (const auto& [field, value] : wrongEntries) {
        auto json = entryJson();
        json[field] = value;
        checkRefused<CatalogueEntry>(json, field);
    }
    checkRefused<CatalogueEntry>(json::array(), "object");
    const std::vector<std::pair<std::string, json>> wrongDatabases { { "connectionLimit", 0 }, { "slots", 1 },
        { "slots", json::array() }, { "service", "" }, { "extra", 1 } };
    for (const auto& [field, value] : wrongDatabases) {
        auto json = databaseJson();
        json[field] = value;
        checkRefused<DatabaseDefinition>(json, field);
    }
    auto database = databaseJson();
    database["slots"][1]["address"] = "localhost";
    checkRefused<DatabaseDefinition>(database, "slots[1]");
    database = databaseJson();
    database["slots"][1]["slot"] = 0;
    checkRefused<DatabaseDefinition>(database, "same number");
    database = databaseJson();
    database["slots"][2]["address"] = "127.0.0.1:7000";
    checkRefused<DatabaseDefinition>(database, "same address");
}

// Guards against work that its entry does not allow, such as a write under a read entry.
TEST(Definitions, EntryClassDecidesTheKinds)
{
    CatalogueEntry entry;
    entry.entryClass = EntryClass::Read;
    CHECK_TRUE(entry.accepts(RequestKind::Read, false));
    CHECK_FALSE(entry.accepts(RequestKind::Write, false));
    CHECK_FALSE(entry.accepts(RequestKind::Begin, false));
    CHECK_FALSE(entry.accepts(RequestKind::Read, true));
    entry.entryClass = EntryClass::Write;
    CHECK_FALSE(entry.accepts(RequestKind::Read, false));
    CHECK_TRUE(entry.accepts(RequestKind::Read, true));
    CHECK_TRUE(entry.accepts(RequestKind::Commit, true));
    entry.entryClass = EntryClass::Both;
    CHECK_TRUE(entry.accepts(RequestKind::Read, false));
    CHECK_TRUE(entry.accepts(RequestKind::Begin, false));
}
