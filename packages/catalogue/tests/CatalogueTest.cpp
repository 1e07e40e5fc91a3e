#include "kumquatbank/catalogue/catalogue.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;

namespace {

nlohmann::json entryJson(const std::string& name, int rank)
{
    return { { "name", name }, { "owner", "web-team" }, { "class", "read" }, { "rank", rank },
        { "service", "zapisnik-1" } };
}

PlatformObject entryObject(const std::string& name, std::uint64_t revision, int rank)
{
    return { "entry", name, revision, revision, false, entryJson(name, rank) };
}

int rankOf(const Catalogue& catalogue, const std::string& name)
{
    return static_cast<int>(catalogue.findEntry(name)->rank);
}

} // namespace

TEST_GROUP(Catalogue)
{
    Catalogue catalogue;
    void setup() override { catalogue.apply({ 0, 10, { entryObject("a", 9, 1), entryObject("b", 10, 1) } }); }
};

// Guards against a late message or a peer that is behind reverting an accepted change.
TEST(Catalogue, OlderRevisionNeverReplacesANewerOne)
{
    CHECK_TRUE(catalogue.apply({ 10, 12, { entryObject("a", 12, 3) } }));
    CHECK_TRUE(catalogue.apply({ 9, 11, { entryObject("a", 11, 2) } }));
    CHECK_TRUE(catalogue.apply({ 0, 10, { entryObject("a", 9, 1) } }));
    LONGS_EQUAL(3, rankOf(catalogue, "a"));
    LONGS_EQUAL(12, catalogue.revision());
}

// Guards against a removed entry coming back from a peer that has not seen the removal.
TEST(Catalogue, RemovalLeavesATombstone)
{
    auto removal = entryObject("a", 11, 1);
    removal.isDeleted = true;
    CHECK_TRUE(catalogue.apply({ 10, 11, { removal } }));
    CHECK_TRUE(catalogue.apply({ 0, 10, { entryObject("a", 9, 1) } }));
    CHECK_TRUE(catalogue.findEntry("a") == nullptr);
    Catalogue other;
    CHECK_TRUE(other.apply(catalogue.changesSince(0)));
    CHECK_TRUE(other.apply({ 0, 10, { entryObject("a", 9, 1) } }));
    CHECK_TRUE(other.findEntry("a") == nullptr);
}

// Guards against a copy that claims a revision although it lacks changes before it.
TEST(Catalogue, RefusesADeltaWithMissingChangesBefore)
{
    CHECK_FALSE(catalogue.apply({ 11, 13, { entryObject("a", 13, 2) } }));
    LONGS_EQUAL(10, catalogue.revision());
    LONGS_EQUAL(1, rankOf(catalogue, "a"));
}

// Guards against an incomplete delta being handed to a peer that asks for changes before the history begins.
TEST(Catalogue, GivesASnapshotWhenTheHistoryDoesNotReachBack)
{
    LONGS_EQUAL(0, catalogue.changesSince(5).from);
    LONGS_EQUAL(2, catalogue.changesSince(5).changes.size());
    catalogue.apply({ 10, 12, { entryObject("a", 12, 2) } });
    const auto delta = catalogue.changesSince(10);
    LONGS_EQUAL(10, delta.from);
    LONGS_EQUAL(1, delta.changes.size());
    for (std::uint64_t revision = 13; revision < 13 + 5000; ++revision)
        catalogue.apply({ revision - 1, revision, { entryObject("n" + std::to_string(revision), revision, 1) } });
    LONGS_EQUAL(0, catalogue.changesSince(12).from);
    LONGS_EQUAL(1, catalogue.changesSince(13 + 4998).changes.size());
}

// Guards against one unreadable object taking a working entry out of service.
TEST(Catalogue, KeepsTheLastValidValueOfAnUnreadableObject)
{
    auto broken = entryObject("a", 11, 7);
    CHECK_TRUE(catalogue.apply({ 10, 11, { broken } }));
    LONGS_EQUAL(1, rankOf(catalogue, "a"));
    LONGS_EQUAL(11, catalogue.revision());
}

// Guards against an operator's mistake being accepted, or refused without naming field, value and what is allowed.
TEST(Catalogue, EntryErrorsNameFieldValueAndWhatIsAllowed)
{
    auto json = entryJson("a", 4);
    STRCMP_EQUAL("catalogue entry: field 'rank', value 4: must be a whole number from 1 to 3",
        CatalogueEntry::fromJson(json).error().message.c_str());
    json = entryJson("a", 1);
    json["floorPercent"] = 95;
    STRCMP_EQUAL("catalogue entry: field 'floorPercent', value 95: must be a number from 0.0 to 90.0",
        CatalogueEntry::fromJson(json).error().message.c_str());
    json = entryJson("a", 1);
    json["maxConcurent"] = 5;
    STRCMP_EQUAL("catalogue entry: field 'maxConcurent', value 5: must be absent: the field is unknown",
        CatalogueEntry::fromJson(json).error().message.c_str());
    json = entryJson("a", 1);
    json.erase("owner");
    CHECK_FALSE(CatalogueEntry::fromJson(json).has_value());
    CHECK_FALSE(CatalogueEntry::fromJson("text").has_value());
}

TEST(Catalogue, EntryAndDatabaseSurviveTheirJson)
{
    auto json = entryJson("a", 2);
    json["maxConcurrent"] = 40;
    json["maxAgeMs"] = 500;
    const auto entry = CatalogueEntry::fromJson(json);
    CHECK_TRUE(nlohmann::json(*CatalogueEntry::fromJson(*entry)) == nlohmann::json(*entry));
    const nlohmann::json database = { { "name", "db" }, { "service", "s" }, { "connectionLimit", 20 },
        { "slots", { { { "slot", 0 }, { "address", "127.0.0.1:1" }, { "place", "p" } } } } };
    CHECK_TRUE(nlohmann::json(*DatabaseDefinition::fromJson(database)) == database);
}

// Guards against two slots that are the same server, which would count twice in a majority.
TEST(Catalogue, RefusesADatabaseWhoseSlotsAreNotDistinct)
{
    nlohmann::json slot = { { "slot", 0 }, { "address", "127.0.0.1:1" }, { "place", "p" } };
    nlohmann::json other = slot;
    other["slot"] = 1;
    const nlohmann::json database
        = { { "name", "db" }, { "service", "s" }, { "connectionLimit", 20 }, { "slots", { slot, other } } };
    CHECK_FALSE(DatabaseDefinition::fromJson(database).has_value());
}

// Guards against a write through an entry that is meant for reads only.
TEST(Catalogue, ClassDecidesWhichRequestsAnEntryAccepts)
{
    CatalogueEntry entry;
    entry.entryClass = EntryClass::Read;
    CHECK_TRUE(entry.accepts(RequestKind::Read, false));
    CHECK_FALSE(entry.accepts(RequestKind::Write, false));
    CHECK_FALSE(entry.accepts(RequestKind::Begin, false));
    entry.entryClass = EntryClass::Write;
    CHECK_FALSE(entry.accepts(RequestKind::Read, false));
    CHECK_TRUE(entry.accepts(RequestKind::Read, true));
    CHECK_TRUE(entry.accepts(RequestKind::Commit, true));
}
